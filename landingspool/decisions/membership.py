"""Which boxes of a failure domain are alive, by probing one a round.

Each box probes one other box in each round.  One that does not answer is
probed through others, then suspected, and removed when it does not refute
that in time.  Marks ride on the probes, so the cost for each box stays the
same however many boxes there are.  The lagging live list is the outer
bound: only a box that is on it can be a member.

Source: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent
infection-style process group membership protocol", 2002.
"""

import itertools
import math
import random
import typing

from landingspool.decisions import messages

PROBE_PERIOD_S = 0.5
ACK_S = 0.2
INDIRECT_S = 0.4
SUSPECT_S = 2.0
INDIRECT_PROBES = 2
MARKS_A_MESSAGE = 6
SPREAD_FACTOR = 3

ALIVE = 'alive'
SUSPECT = 'suspect'
DEAD = 'dead'
LEAVING = 'leaving'

# Which state wins where two marks have the same count.
ORDER = {ALIVE: 0, LEAVING: 1, SUSPECT: 2, DEAD: 3}


class Peer(typing.NamedTuple):
    """What is known of one box; `since` is the time of its last change."""

    mark: messages.Mark
    since: float


class Pending(typing.NamedTuple):
    """A probe that was not answered yet."""

    subject: str
    sent: float
    indirect: bool


def supersedes(new, old):
    """Tell whether a mark is news against another one.

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
    return (new.count, ORDER[new.state]) > (old.count, ORDER[old.state])


class Membership:
    """The view that one box has of the boxes of its domain.

    Parameters
    ----------
    box, incarnation : str
        Incarnations of a box sort in the order of its starts.
    rng : random.Random
    """

    def __init__(self, box, incarnation, rng=None):
        self.box = box
        self.incarnation = incarnation
        self._rng = rng or random.Random(box)
        self._own = messages.Mark(box, incarnation, ALIVE, 0)
        self._peers = {}
        self._listed = set()
        self._order = []
        self._pending = {}
        self._relayed = {}
        self._numbers = itertools.count(1)
        self._hot = {}
        self._due = 0.0
        self._alive = None
        self.changes = []

    def set_listed(self, members, now):
        """Take in the boxes that the live list names for this domain."""
        self._listed = {member.name for member in members}
        for member in members:
            if member.name == self.box or member.name in self._peers:
                continue
            mark = messages.Mark(member.name, '', ALIVE, 0)
            self._set(mark, now)
        for name in [n for n in self._peers if n not in self._listed]:
            del self._peers[name]
            self._alive = None
            self.changes.append(('removed', name))

    def list_alive(self):
        """List the boxes to reckon with, this one included.

        A box that is planned to stop takes on no new responsibility.
        """
        if self._alive is None:
            alive = [
                name
                for name, peer in self._peers.items()
                if peer.mark.state in (ALIVE, SUSPECT)
            ]
            if self._own.state == ALIVE:
                alive.append(self.box)
            self._alive = tuple(sorted(alive))
        return self._alive

    def get_state(self, name):
        """Give the state of a box, or None if it is not known."""
        if name == self.box:
            return self._own.state
        peer = self._peers.get(name)
        return peer.mark.state if peer else None

    def leave(self):
        """Begin a planned stop: the mark spreads with the next probes."""
        self._own = self._own._replace(
            state=LEAVING, count=self._own.count + 1
        )
        self._alive = None
        self._heat(self._own)

    def reset(self, now):
        """Forget what was pending, after this process was frozen.

        The others were silent only because we did not listen.
        """
        self._pending.clear()
        for name, peer in list(self._peers.items()):
            if peer.mark.state == SUSPECT:
                self._peers[name] = peer._replace(since=now)

    def tick(self, now):
        """Do what is due; returns a list of (box, message)."""
        sends = self._check_pending(now)
        self._check_suspects(now)
        if now >= self._due:
            self._due = now + PROBE_PERIOD_S
            sends += self._probe_next(now)
        return sends

    def handle(self, sender, message, now):
        """Handle a probe or an answer; returns a list of (box, message)."""
        self._take_marks(message.marks, now)
        return HANDLERS[type(message)](self, sender, message, now)

    def _on_probe(self, sender, message, now):
        ack = messages.Ack(message.number, self.box, self._pick_marks())
        return [(sender, ack)]

    def _on_ack(self, sender, message, now):
        relayed = self._relayed.pop(message.number, None)
        if relayed is not None:
            asker, number = relayed
            marks = self._pick_marks()
            return [(asker, messages.Ack(number, message.subject, marks))]
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
        # Only the box itself can refute a suspicion for the others, but
        # it did answer us, so we give it the whole time again.
        self._peers[name] = peer._replace(since=now)

    def _probe_next(self, now):
        if not self._order:
            self._order = sorted(self._peers)
            self._rng.shuffle(self._order)
        while self._order:
            name = self._order.pop()
            if name in self._peers:
                number = next(self._numbers)
                self._pending[number] = Pending(name, now, False)
                probe = messages.Probe(number, self._pick_marks(name))
                return [(name, probe)]
        return []

    def _check_pending(self, now):
        sends = []
        for number, pending in list(self._pending.items()):
            if not pending.indirect and now - pending.sent >= ACK_S:
                self._pending[number] = pending._replace(indirect=True)
                sends += self._probe_through(number, pending.subject)
            elif now - pending.sent >= ACK_S + INDIRECT_S:
                del self._pending[number]
                self._suspect(pending.subject, now)
        return sends

    def _probe_through(self, number, subject):
        others = [
            name
            for name, peer in sorted(self._peers.items())
            if name != subject and peer.mark.state == ALIVE
        ]
        count = min(INDIRECT_PROBES, len(others))
        marks = self._pick_marks()
        ask = messages.ProbeFor(number, subject, marks)
        return [(name, ask) for name in self._rng.sample(others, count)]

    def _suspect(self, name, now):
        peer = self._peers.get(name)
        if peer is not None and peer.mark.state in (ALIVE, LEAVING):
            self._set(peer.mark._replace(state=SUSPECT), now)

    def _check_suspects(self, now):
        for name, peer in list(self._peers.items()):
            if peer.mark.state != SUSPECT or now - peer.since < SUSPECT_S:
                continue
            self._set(peer.mark._replace(state=DEAD), now)

    def _take_marks(self, marks, now):
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
        if mark.state in (SUSPECT, DEAD) and mark.count >= self._own.count:
            self._own = self._own._replace(count=mark.count + 1)
            self._heat(self._own)

    def _set(self, mark, now):
        old = self._peers.get(mark.name)
        self._peers[mark.name] = Peer(mark, now)
        self._alive = None
        self._heat(mark)
        if old is None or old.mark.state != mark.state:
            self.changes.append((CHANGES[mark.state], mark.name))

    def _heat(self, mark):
        boxes = max(len(self._peers), 1) + 1
        times = SPREAD_FACTOR * math.ceil(math.log2(boxes + 1))
        self._hot[mark.name] = (mark, times)

    def _pick_marks(self, subject=None):
        # The own mark always rides along: it is how a restarted box makes
        # its new incarnation known.  The marks told least often go first.
        marks = [self._own]
        told = self._peers.get(subject)
        if told is not None and told.mark.state in (SUSPECT, DEAD):
            marks.append(told.mark)
        hot = sorted(self._hot.items(), key=lambda item: -item[1][1])
        for name, (mark, times) in hot[: MARKS_A_MESSAGE - len(marks)]:
            if mark not in marks:
                marks.append(mark)
            if times > 1:
                self._hot[name] = (mark, times - 1)
            else:
                del self._hot[name]
        return tuple(marks)


CHANGES = {
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
