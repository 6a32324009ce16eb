"""Choice of another failure domain for requests that would wait too long.

Domains exchange summaries of their pools.  A request spills to the domain
where its first token is expected earlier, including the time to compute its
context again there.  A summary is at least half a second old, so requests
sent since then are added to it; otherwise all would go to the same domain.
"""

import typing

from landingspool.decisions import messages

MAX_SUMMARY_AGE_S = 5.0
MARGIN_S = 0.1
# Expected wait for a slot of a pool that is full but whose queue is empty.
FULL_POOL_WAIT_S = 0.5


class ReceivedSummary(typing.NamedTuple):
    """Summary of a remote pool.

    Attributes
    ----------
    room : messages.Room
    received_at : float
        Monotonic seconds.
    added_s : float
        Seconds of work sent to the pool since the summary was received.
    """

    room: messages.Room
    received_at: float
    added_s: float = 0.0


def estimate_remote(received, work):
    """Estimate the seconds to the first token in another domain.

    The caches of other domains are unknown, so the whole prompt counts.

    >>> room = messages.Room('m', 2, 0.5, 20_000.0, 2)
    >>> Work = typing.NamedTuple('Work', prompt_tokens=int)
    >>> estimate_remote(ReceivedSummary(room, 0.0), Work(10_000))
    1.6
    """
    room = received.room
    prefill_per_target = room.prefill / room.targets
    full = 0.0 if room.free else FULL_POOL_WAIT_S
    compute = work.prompt_tokens / prefill_per_target
    return room.delay + received.added_s + full + compute + MARGIN_S


def find_earlier_domain(rooms, work, local_s, now):
    """Return a domain with an earlier first token, or ``''``.

    Parameters
    ----------
    rooms : dict of str to ReceivedSummary
        By domain.  The request is added to the entry of the chosen domain.
    work : records.Work
    local_s : float
        Expected seconds to the first token in the local domain.
    now : float

    Returns
    -------
    str
    """
    best, first = '', local_s
    for domain, received in sorted(rooms.items()):
        if (
            now - received.received_at > MAX_SUMMARY_AGE_S
            or not received.room.targets
        ):
            continue
        remote_s = estimate_remote(received, work)
        if remote_s < first:
            best, first = domain, remote_s
    if best:
        received = rooms[best]
        added_s = work.prompt_tokens / received.room.prefill
        rooms[best] = received._replace(added_s=received.added_s + added_s)
    return best
