"""Decides when a request looks for a permit of another box.

The permits of a target's limit are dealt to all boxes alike (shares.py), but
callers may all come to one of them.  A request for which this box has no
permit is handed to a peer, which sends it under a permit of its own: no permit
moves, so that the limit holds whatever boxes know of each other.  While peers
have none to spare, few requests look for one.
"""

import typing

# Boxes that one request may ask for a permit.
MAX_PEERS = 2
# Seconds without a search after one that failed, doubled up to the maximum.
PAUSE_S = 0.1
MAX_PAUSE_S = 3.2


class Pause(typing.NamedTuple):
    """Until when no request for a service looks for a permit.

    Attributes
    ----------
    until : float
    seconds : float
        Length of the pause.
    """

    until: float
    seconds: float


class PermitSearch:
    """The pauses of one box, by service."""

    def __init__(self):
        self._pauses = {}

    def may_search(self, service, now):
        """Return whether a request may look for a permit of another box."""
        pause = self._pauses.get(service)
        return pause is None or now >= pause.until

    def record_found(self, service):
        """Record that a peer had a permit."""
        self._pauses.pop(service, None)

    def record_missing(self, service, now):
        """Record that the peers that were asked had no permit.

        >>> search = PermitSearch()
        >>> search.record_missing('s', 1.0)
        >>> search.may_search('s', 1.05), search.may_search('s', 1.15)
        (False, True)
        >>> search.record_missing('s', 1.2)
        >>> search.may_search('s', 1.35)
        False
        >>> search.record_found('s')
        >>> search.may_search('s', 1.35)
        True
        """
        if not self.may_search(service, now):
            # One of several requests that were under way at once.
            return
        known = self._pauses.get(service)
        seconds = PAUSE_S if known is None else known.seconds * 2
        seconds = min(seconds, MAX_PAUSE_S)
        self._pauses[service] = Pause(now + seconds, seconds)
