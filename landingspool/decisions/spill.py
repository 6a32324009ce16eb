"""When a request goes to another failure domain.

Domains tell each other of their pools in summaries.  Work goes where its
first token is expected earlier, with the context that has to be computed
again there counted in.  A summary is half a second old or more, so what
was sent since is added to it: else all would go to the same place at once.
"""

import typing

from landingspool.decisions import messages

SUMMARY_OLD_S = 5.0
MARGIN_S = 0.1
# A pool whose places are all taken and whose queue is empty will free one
# soon; that much is expected until then.
FULL_S = 0.5


class Heard(typing.NamedTuple):
    """The summary of a pool, when it came, and the seconds added since."""

    room: messages.Room
    at: float
    added: float = 0.0


def estimate_there(heard, work):
    """Estimate the seconds to the first token in another domain.

    The caches there are not known here, so the whole prompt counts.

    >>> room = messages.Room('m', 2, 0.5, 20_000.0, 2)
    >>> Work = typing.NamedTuple('Work', prompt_tokens=int)
    >>> estimate_there(Heard(room, 0.0), Work(10_000))
    1.6
    """
    room = heard.room
    each = room.prefill / room.targets
    full = 0.0 if room.free else FULL_S
    compute = work.prompt_tokens / each
    return room.delay + heard.added + full + compute + MARGIN_S


def find_better(rooms, work, here, now):
    """Give the domain with an earlier first token than `here`, or ``''``.

    Parameters
    ----------
    rooms : dict of str to Heard
        By domain; the chosen one's entry is charged with the request.
    work : records.Work
    here : float
        Expected seconds to the first token in the own domain.
    now : float

    Returns
    -------
    str
    """
    best, first = '', here
    for domain, heard in sorted(rooms.items()):
        if now - heard.at > SUMMARY_OLD_S or not heard.room.targets:
            continue
        there = estimate_there(heard, work)
        if there < first:
            best, first = domain, there
    if best:
        heard = rooms[best]
        added = work.prompt_tokens / heard.room.prefill
        rooms[best] = heard._replace(added=heard.added + added)
    return best
