"""Failure detection among the boxes of a domain, by periodic probes (SWIM).

Each box probes one other box in each period.  A box that does not answer is
probed through other boxes, then suspected, and removed if it does not refute
the suspicion in time.  State updates (marks) are piggybacked on the probes,
so the cost for each box does not depend on the number of boxes.  The live
list, which lags, is the outer bound: only a box on it can be a member.

Source: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent
infection-style process group membership protocol", 2002.
"""

import itertools
import math
import random
import typing

from landingspool.decisions import messages

PROBE_PERIOD_S = 0.5
ACK_TIMEOUT_S = 0.2
INDIRECT_TIMEOUT_S = 0.4
SUSPECT_TIMEOUT_S = 2.0
INDIRECT_PROBES = 2
MAX_MARKS_PER_MESSAGE = 6
RETRANSMIT_FACTOR = 3

ALIVE = 'alive'
SUSPECT = 'suspect'
DEAD = 'dead'
LEAVING = 'leaving'

# Which state takes precedence between two marks of one incarnation and count.
STATE_PRECEDENCE = {ALIVE: 0, LEAVING: 1, SUSPECT: 2, DEAD: 3}


class Peer(typing.NamedTuple):
    """State of one box; `since` is the time of its last change."""

    mark: messages.Mark
    since: float


class Pending(typing.NamedTuple):
    """A probe that has not been answered yet."""

    subject: str
    sent: float
    indirect: bool


def supersedes(new, old):
    """Return whether a mark takes precedence over an older one.

    >>> a = messages.Mark('x', 'i1', ALIVE, 1)
    >>> supersedes(a._replace(state=SUSPECT), a)
    True
    >>> supersedes(a, a._replace(state=SUSPECT))
    False
    >>> supersedes(a._replace(count=2), a._replace(state=SUSPECT))
    True
    """
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return (new.count, STATE_PRECEDENCE[new.state]) > (
        old.count,
        STATE_PRECEDENCE[old.state],
    )


class Membership:
    """One box's view of which boxes of its domain are alive.

    Parameters
    ----------
    box, incarnation : str
        Incarnations of a box sort in the order in which it was started.
    rng : random.Random
    """

    def __init__(self, box, incarnation, rng=None):
        self.box = box
        self.incarnation = incarnation
        self._rng = rng or random.Random(box)
        self._own_mark = messages.Mark(box, incarnation, ALIVE, 0)
        self._peers = {}
        self._listed = set()
        self._probe_order = []
        self._pending = {}
        self._relayed = {}
        self._numbers = itertools.count(1)
        self._gossip = {}
        self._next_probe = 0.0
        self._alive_names = None
        self.changes = []

    def set_listed(self, members, now):
        """Update from the live list's boxes of this domain."""
        self._listed = {member.name for member in members}
        for member in members:
            if member.name == self.box or member.name in self._peers:
                continue
            mark = messages.Mark(member.name, '', ALIVE, 0)
            self._set(mark, now)
        for name in [n for n in self._peers if n not in self._listed]:
            del self._peers[name]
            self._alive_names = None
            self.changes.append(('removed', name))

    def list_alive(self):
        """List the boxes that may be responsible, this one included.

        A box that is about to stop takes on no new responsibility.
        """
        if self._alive_names is None:
            alive = [
                name
                for name, peer in self._peers.items()
                if peer.mark.state in (ALIVE, SUSPECT)
            ]
            if self._own_mark.state == ALIVE:
                alive.append(self.box)
            self._alive_names = tuple(sorted(alive))
        return self._alive_names

    def get_state(self, name):
        """Return the state of a box, or None if it is not known."""
        if name == self.box:
            return self._own_mark.state
        peer = self._peers.get(name)
        return peer.mark.state if peer else None

    def leave(self):
        """Start a planned stop; the next probes spread the mark."""
        self._own_mark = self._own_mark._replace(
            state=LEAVING, count=self._own_mark.count + 1
        )
        self._alive_names = None
        self._queue_gossip(self._own_mark)

    def reset(self, now):
        """Drop pending probes after a stall of this process.

        Peers seem silent only because this process did not read.  Each
        suspected peer gets the whole time-out again, from `now`.
        """
        self._pending.clear()
        for name, peer in list(self._peers.items()):
            if peer.mark.state == SUSPECT:
                self._peers[name] = peer._replace(since=now)

    def tick(self, now):
        """Run the probes that are due and return a list of (box, message)."""
        sends = self._check_pending(now)
        self._check_suspects(now)
        if now >= self._next_probe:
            self._next_probe = now + PROBE_PERIOD_S
            sends += self._probe_next(now)
        return sends

    def handle(self, sender, message, now):
        """Handle a probe or an answer and return a list of (box, message)."""
        self._merge_marks(message.marks, now)
        return HANDLERS[type(message)](self, sender, message, now)

    def _on_probe(self, sender, message, now):
        ack = messages.Ack(message.number, self.box, self._pick_marks())
        return [(sender, ack)]

    def _on_ack(self, sender, message, now):
        relayed = self._relayed.pop(message.number, None)
        if relayed is not None:
            requester, number = relayed
            marks = self._pick_marks()
            return [(requester, messages.Ack(number, message.subject, marks))]
        pending = self._pending.pop(message.number, None)
        if pending is not None:
            self._record_alive(pending.subject, now)
        return []

    def _on_probe_for(self, sender, message, now):
        number = next(self._numbers)
        self._relayed[number] = (sender, message.number)
        while len(self._relayed) > 256:
            self._relayed.pop(next(iter(self._relayed)))
        marks = self._pick_marks()
        return [(message.subject, messages.Probe(number, marks))]

    def _record_alive(self, name, now):
        peer = self._peers.get(name)
        if peer is None or peer.mark.state != SUSPECT:
            return
        # Only the suspected box can refute the suspicion towards other boxes.
        # It did answer this box, so its time-out starts again here.
        self._peers[name] = peer._replace(since=now)

    def _probe_next(self, now):
        if not self._probe_order:
            self._probe_order = sorted(self._peers)
            self._rng.shuffle(self._probe_order)
        while self._probe_order:
            name = self._probe_order.pop()
            if name in self._peers:
                number = next(self._numbers)
                self._pending[number] = Pending(name, now, False)
                probe = messages.Probe(number, self._pick_marks(name))
                return [(name, probe)]
        return []

    def _check_pending(self, now):
        sends = []
        for number, pending in list(self._pending.items()):
            if not pending.indirect and now - pending.sent >= ACK_TIMEOUT_S:
                self._pending[number] = pending._replace(indirect=True)
                sends += self._probe_indirectly(number, pending.subject)
            elif now - pending.sent >= ACK_TIMEOUT_S + INDIRECT_TIMEOUT_S:
                del self._pending[number]
                self._suspect(pending.subject, now)
        return sends

    def _probe_indirectly(self, number, subject):
        helpers = [
            name
            for name, peer in sorted(self._peers.items())
            if name != subject and peer.mark.state == ALIVE
        ]
        count = min(INDIRECT_PROBES, len(helpers))
        marks = self._pick_marks()
        probe_for = messages.ProbeFor(number, subject, marks)
        return [(name, probe_for) for name in self._rng.sample(helpers, count)]

    def _suspect(self, name, now):
        peer = self._peers.get(name)
        if peer is not None and peer.mark.state in (ALIVE, LEAVING):
            self._set(peer.mark._replace(state=SUSPECT), now)

    def _check_suspects(self, now):
        for name, peer in list(self._peers.items()):
            if (
                peer.mark.state != SUSPECT
                or now - peer.since < SUSPECT_TIMEOUT_S
            ):
                continue
            self._set(peer.mark._replace(state=DEAD), now)

    def _merge_marks(self, marks, now):
        for mark in marks:
            if mark.name == self.box:
                self._refute(mark)
            elif mark.name in self._listed:
                known = self._peers.get(mark.name)
                if known is None or supersedes(mark, known.mark):
                    self._set(mark, now)

    def _refute(self, mark):
        if mark.incarnation != self.incarnation:
            return
        if (
            mark.state in (SUSPECT, DEAD)
            and mark.count >= self._own_mark.count
        ):
            self._own_mark = self._own_mark._replace(count=mark.count + 1)
            self._queue_gossip(self._own_mark)

    def _set(self, mark, now):
        old = self._peers.get(mark.name)
        self._peers[mark.name] = Peer(mark, now)
        self._alive_names = None
        self._queue_gossip(mark)
        if old is None or old.mark.state != mark.state:
            self.changes.append((CHANGE_EVENTS[mark.state], mark.name))

    def _queue_gossip(self, mark):
        boxes = max(len(self._peers), 1) + 1
        sends_left = RETRANSMIT_FACTOR * math.ceil(math.log2(boxes + 1))
        self._gossip[mark.name] = (mark, sends_left)

    def _pick_marks(self, subject=None):
        # The box's own mark is always included: this is how a restarted
        # box announces its new incarnation.  A box that is suspected or
        # dead gets that mark, so that it can refute it.  Of the other
        # marks, those sent the fewest times go first.
        marks = [self._own_mark]
        peer = self._peers.get(subject)
        if peer is not None and peer.mark.state in (SUSPECT, DEAD):
            marks.append(peer.mark)
        queued = sorted(self._gossip.items(), key=lambda item: -item[1][1])
        for name, (mark, sends_left) in queued[
            : MAX_MARKS_PER_MESSAGE - len(marks)
        ]:
            if mark not in marks:
                marks.append(mark)
            if sends_left > 1:
                self._gossip[name] = (mark, sends_left - 1)
            else:
                del self._gossip[name]
        return tuple(marks)


CHANGE_EVENTS = {
    ALIVE: 'joined',
    SUSPECT: 'suspected',
    DEAD: 'removed',
    LEAVING: 'leaving',
}

HANDLERS = {
    messages.Probe: Membership._on_probe,
    messages.Ack: Membership._on_ack,
    messages.ProbeFor: Membership._on_probe_for,
}
