"""Tracks the requests that this box has at each target.

A box knows its own requests from their sending to their end, and reports them
to other boxes in its digests; the wait at a target is estimated from both.
"""

import typing

from landingspool.decisions.gateway import choice


# Seconds for which the wait of the request that began last at a target tells
# what the next one will wait.  It is not renewed while nothing is sent there.
WAIT_KEPT_S = 12.0


class Sent(typing.NamedTuple):
    """A request of this box at a target; `begun` once bytes came back.

    `tokens` are the prompt tokens to be read, `held` is the memory that the
    request takes when it finishes, in tokens.
    """

    at: float
    tokens: int
    begun: bool
    held: int = 0


class Loads:
    """Hold the requests of one box, by target and request name."""

    def __init__(self):
        self._sent = {}
        self._last_bytes = {}
        # By target: the wait of the request that began last, and when.
        self._last_waits = {}

    def record_sent(self, target, request, sent):
        """Record that a request was sent to a target.

        Parameters
        ----------
        sent : Sent
        """
        self._sent.setdefault(target, {})[request] = sent

    def record_first(self, target, request):
        """Record that bytes of an answer arrived.

        The time is that of the target's last byte.

        Returns
        -------
        Sent or None
            The request, if these bytes are the first.

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
        now = self._last_bytes.get(target, sent.at)
        self._last_waits[target] = (now - sent.at, now)
        return sent

    def record_end(self, target, request):
        """Record that a request is no longer at a target."""
        at_target = self._sent.get(target)
        if at_target is None:
            return
        at_target.pop(request, None)
        if not at_target:
            del self._sent[target]

    def record_received(self, target, now):
        """Record that a target sent some bytes."""
        self._last_bytes[target] = now

    def exclude_stall(self, seconds):
        """Shift all times by the seconds of a stall of this box.

        >>> loads = Loads()
        >>> loads.record_sent('t', 'q', Sent(1.0, 500, False, 600))
        >>> loads.exclude_stall(6.0)
        >>> loads.measure('t', (0.0, 0.0, 0.0, 0.0)).oldest
        7.0
        """
        for rows in self._sent.values():
            for request, sent in rows.items():
                rows[request] = sent._replace(at=sent.at + seconds)
        for target in self._last_bytes:
            self._last_bytes[target] += seconds

    def forget(self, target):
        """Discard the times of the last byte from a target that is gone."""
        self._last_bytes.pop(target, None)
        self._last_waits.pop(target, None)

    def measure(self, target, peer_load):
        """Return the choice.Load at a target.

        Parameters
        ----------
        peer_load : tuple of float
            Requests of other boxes there, as peer_digests.PeerLoads.get
            returns.

        >>> loads = Loads()
        >>> loads.record_sent('t', 'q', Sent(1.0, 500, False, 600))
        >>> load = loads.measure('t', (9.0, 2.0, 0.0, 1.0))
        >>> load.waiting, load.waiting_tokens, load.peer_running
        (1, 500, 2.0)
        """
        tokens, running, held, queued = peer_load
        last_byte = self._last_bytes.get(target, 0.0)
        at_target = self._sent.get(target)
        if at_target is None:
            # Most targets have no request of this box.
            return choice.Load(
                last_byte=last_byte,
                peer_tokens=tokens,
                peer_running=running,
                peer_held=held,
                peer_waiting=queued,
            )
        rows = at_target.values()
        waiting = [row for row in rows if not row.begun]
        return choice.Load(
            waiting=len(waiting),
            running=len(rows) - len(waiting),
            waiting_tokens=sum(row.tokens for row in waiting),
            oldest=min((row.at for row in waiting), default=None),
            last_byte=last_byte,
            peer_tokens=tokens,
            peer_running=running,
            held_tokens=sum(row.held for row in rows),
            peer_held=held,
            peer_waiting=queued,
        )

    def measure_wait(self, target, now):
        """Return the seconds that this box's requests wait at a target.

        That is the longer one of the longest wait of those without an answer
        and the wait of the one that was answered last, if it is recent.

        >>> loads = Loads()
        >>> loads.record_sent('t', 'q', Sent(1.0, 500, False, 600))
        >>> loads.measure_wait('t', 3.0)
        2.0
        >>> loads.record_received('t', 4.0)
        >>> _ = loads.record_first('t', 'q')
        >>> loads.measure_wait('t', 4.5), loads.measure_wait('t', 16.5)
        (3.0, 0.0)
        """
        rows = self._sent.get(target, {}).values()
        waits = [now - row.at for row in rows if not row.begun]
        wait_s, ended = self._last_waits.get(target, (0.0, now))
        if now - ended < WAIT_KEPT_S:
            waits.append(wait_s)
        return max(waits, default=0.0)

    def count(self, target):
        """Return this box's requests at a target: waiting, and begun.

        >>> loads = Loads()
        >>> loads.record_sent('t', 'q', Sent(1.0, 500, False, 600))
        >>> loads.count('t'), loads.count('u')
        ((1, 0), (0, 0))
        """
        rows = self._sent.get(target, {}).values()
        waiting = sum(1 for row in rows if not row.begun)
        return waiting, len(rows) - waiting

    def list_targets(self):
        """Return the names of the targets that have requests of this box."""
        return list(self._sent)

    def list_silent(self, now, silence_s):
        """List the targets that have sent no byte for `silence_s` seconds.

        Only targets with requests of this box count.

        >>> loads = Loads()
        >>> loads.record_sent('t', 'q', Sent(1.0, 500, False, 600))
        >>> loads.list_silent(1.5, 0.8), loads.list_silent(2.0, 0.8)
        ([], ['t'])
        >>> loads.record_received('t', 1.9)
        >>> loads.list_silent(2.0, 0.8)
        []
        """
        return [
            target
            for target, rows in self._sent.items()
            if now
            - max(
                self._last_bytes.get(target, 0.0),
                min(row.at for row in rows.values()),
            )
            > silence_s
        ]

    def list_reported(self):
        """Return this box's requests at each target, as in a Digest.

        >>> loads = Loads()
        >>> loads.record_sent('t', 'q', Sent(1.0, 500, False, 600))
        >>> loads.record_sent('t', 'r', Sent(1.0, 200, True, 300))
        >>> loads.list_reported()
        {'t': [500, 1, 900, 1]}
        """
        reported = {}
        for target, rows in self._sent.items():
            waiting = [row.tokens for row in rows.values() if not row.begun]
            held = sum(row.held for row in rows.values())
            count = len(waiting)
            reported[target] = [sum(waiting), len(rows) - count, held, count]
        return reported
