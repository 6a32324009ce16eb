"""What requests this box has at each target.

A box knows its own requests from their sending to their end, and tells the
others of them in its digests; the wait at a target is estimated from both.
"""

import typing

from landingspool.decisions.gateway import choice


class Sent(typing.NamedTuple):
    """A request of this box at a target; `begun` once bytes came back.

    `tokens` are to be read, `held` is the memory that it takes in the end,
    in tokens.
    """

    at: float
    tokens: int
    begun: bool
    held: int = 0


class Loads:
    """The requests of one box, by target and by their own name."""

    def __init__(self):
        self._sent = {}
        self._heard = {}

    def record_sent(self, target, request, sent):
        """Note that a request went to a target.

        Parameters
        ----------
        sent : Sent
        """
        self._sent.setdefault(target, {})[request] = sent

    def record_first(self, target, request):
        """Note that bytes of an answer came.

        Returns
        -------
        Sent or None
            The request, if they are the first.

        >>> loads = Loads()
        >>> loads.record_sent('t', 'q', Sent(1.0, 500, False, 600))
        >>> loads.record_first('t', 'q')
        Sent(at=1.0, tokens=500, begun=False, held=600)
        >>> loads.record_first('t', 'q')
        >>> loads.record_first('t', 'unknown')
        """
        sent = self._sent.get(target, {}).get(request)
        if sent is None or sent.begun:
            return None
        self._sent[target][request] = sent._replace(begun=True)
        return sent

    def record_end(self, target, request):
        """Note that a request is no longer at a target."""
        at_target = self._sent.get(target)
        if at_target is None:
            return
        at_target.pop(request, None)
        if not at_target:
            del self._sent[target]

    def record_received(self, target, now):
        """Note that a target sent something."""
        self._heard[target] = now

    def exclude_stall(self, seconds):
        """Leave out seconds for which this box did not run.

        >>> loads = Loads()
        >>> loads.record_sent('t', 'q', Sent(1.0, 500, False, 600))
        >>> loads.exclude_stall(6.0)
        >>> loads.measure('t', (0.0, 0.0, 0.0, 0.0)).oldest
        7.0
        """
        for rows in self._sent.values():
            for request, sent in rows.items():
                rows[request] = sent._replace(at=sent.at + seconds)
        for target in self._heard:
            self._heard[target] += seconds

    def forget(self, target):
        """Forget when a target that has gone was last heard."""
        self._heard.pop(target, None)

    def measure(self, target, others):
        """Give the choice.Load at a target.

        Parameters
        ----------
        others : tuple of float
            What other boxes have there, as neighbours.PeerDigests.get_load.

        >>> loads = Loads()
        >>> loads.record_sent('t', 'q', Sent(1.0, 500, False, 600))
        >>> load = loads.measure('t', (9.0, 2.0, 0.0, 1.0))
        >>> load.waiting, load.waiting_tokens, load.others_running
        (1, 500, 2.0)
        """
        rows = self._sent.get(target, {}).values()
        waiting = [row for row in rows if not row.begun]
        tokens, running, held, queued = others
        return choice.Load(
            waiting=len(waiting),
            running=len(rows) - len(waiting),
            waiting_tokens=sum(row.tokens for row in waiting),
            oldest=min((row.at for row in waiting), default=None),
            heard=self._heard.get(target, 0.0),
            others_tokens=tokens,
            others_running=running,
            held_tokens=sum(row.held for row in rows),
            others_held=held,
            others_waiting=queued,
        )

    def count(self, target):
        """Count this box's requests at a target: waiting, and begun.

        >>> loads = Loads()
        >>> loads.record_sent('t', 'q', Sent(1.0, 500, False, 600))
        >>> loads.count('t'), loads.count('u')
        ((1, 0), (0, 0))
        """
        rows = self._sent.get(target, {}).values()
        waiting = sum(1 for row in rows if not row.begun)
        return waiting, len(rows) - waiting

    def list_told(self):
        """Give what this box has at each target, as in neighbours.Digest.

        >>> loads = Loads()
        >>> loads.record_sent('t', 'q', Sent(1.0, 500, False, 600))
        >>> loads.record_sent('t', 'r', Sent(1.0, 200, True, 300))
        >>> loads.list_told()
        {'t': [500, 1, 900, 1]}
        """
        told = {}
        for target, rows in self._sent.items():
            waiting = [row.tokens for row in rows.values() if not row.begun]
            held = sum(row.held for row in rows.values())
            count = len(waiting)
            told[target] = [sum(waiting), len(rows) - count, held, count]
        return told
