"""Choice of another failure domain for requests that would wait too long.

Domains exchange summaries of their pools.  A request spills to the domain
where its first token is expected earlier, including the time to compute its
context again there.  A summary is at least half a second old, so requests
sent since then are added to it; otherwise all would go to the same domain.
"""

import typing

from landingspool.decisions import messages
from landingspool.decisions import outputs

MAX_SUMMARY_AGE_S = 5.0
MARGIN_S = 0.1
# Expected wait for a slot of a pool that is full but whose queue is empty.
FULL_POOL_WAIT_S = 0.5
# Seconds after which a request that was spilled is not expected to return.
RETURN_TIMEOUT_S = 5.0


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


class SpilledRequest(typing.NamedTuple):
    """Domain that a request was sent to, and when, in monotonic seconds."""

    domain: str
    at: float


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


class OtherDomains:
    """What the schedulers of one model know of the other failure domains.

    A request that was sent to another domain returns if that domain has no
    target for it or does not answer.  Its summary was out of date then.

    >>> domains = OtherDomains()
    >>> room = messages.Room('m', 2, 0.0, 9_000.0, 1)
    >>> domains.record_summary('south', room, 0.0)
    >>> Work = typing.NamedTuple('Work', request=str, prompt_tokens=int)
    >>> work = Work('r1', 900)
    >>> domains.pick(work, 2.0, 1.0)
    'south'
    >>> domains.take_back('r1'), domains.pick(work, 2.0, 1.0)
    (True, '')
    """

    def __init__(self):
        self._summaries = {}
        self._spilled = {}
        self._listed = set()

    def set_listed(self, domains):
        """Set the domains that have targets by the live list."""
        self._listed = domains

    def is_unheard(self):
        """Return whether a listed domain has not sent a summary yet."""
        return not self._listed <= self._summaries.keys()

    def record_summary(self, domain, room, now):
        """Record another domain's summary of its pool."""
        self._summaries[domain] = ReceivedSummary(room, now)

    def describe(self, now):
        """Return for a log the listed domains and the ages of summaries.

        >>> domains = OtherDomains()
        >>> domains.set_listed({'south', 'west'})
        >>> room = messages.Room('m', 2, 0.0, 9_000.0, 1)
        >>> domains.record_summary('south', room, 1.0)
        >>> domains.describe(1.5)
        {'listed': ['south', 'west'], 'summary_ages_s': {'south': 0.5}}
        """
        ages_s = {
            domain: round(now - received.received_at, 2)
            for domain, received in sorted(self._summaries.items())
            if received.room.targets
        }
        return {'listed': sorted(self._listed), 'summary_ages_s': ages_s}

    def resume(self, seconds):
        """Extend the summaries by a stall of `seconds`."""
        for domain, received in self._summaries.items():
            self._summaries[domain] = received._replace(
                received_at=received.received_at + seconds
            )

    def expire(self, now):
        """Forget the requests that are not expected to return any more."""
        expired = [
            request
            for request, row in self._spilled.items()
            if now - row.at > RETURN_TIMEOUT_S
        ]
        for request in expired:
            del self._spilled[request]

    def pick(self, work, local_s, now):
        """Pick a domain with an earlier first token, or return ``''``.

        Parameters
        ----------
        work : records.Work
            The request; it is recorded as sent to the domain.
        local_s : float
            Expected seconds to the first token in the local domain.
        now : float

        Returns
        -------
        str
        """
        best, first = '', local_s
        for domain, received in sorted(self._summaries.items()):
            if not is_useful(received, now):
                continue
            remote_s = estimate_remote(received, work)
            if remote_s < first:
                best, first = domain, remote_s
        if best:
            self._record_spilled(work, best, now)
        return best

    def take_back(self, request):
        """Return whether a request returns from the domain it was sent to.

        No other request is sent there until its next summary.
        """
        row = self._spilled.pop(request, None)
        if row is None:
            return False
        received = self._summaries[row.domain]
        room = received.room._replace(targets=0)
        self._summaries[row.domain] = received._replace(room=room)
        return True

    def _record_spilled(self, work, domain, now):
        self._spilled[work.request] = SpilledRequest(domain, now)
        received = self._summaries[domain]
        added_s = work.prompt_tokens / received.room.prefill
        self._summaries[domain] = received._replace(
            added_s=received.added_s + added_s
        )


def is_useful(received, now):
    """Return whether requests may be sent to a domain by its summary."""
    age_s = now - received.received_at
    return age_s <= MAX_SUMMARY_AGE_S and received.room.targets > 0


def make_spill(work, domain):
    """Return the answer that sends a request to another domain."""
    return outputs.Send(work.entry, messages.Spill(work.request, domain))
