"""In a large fleet collectors add up what the boxes tell."""

import types

from landingspool.decisions.gateway import collectors
from landingspool.decisions.gateway import neighbours
from landingspool.decisions.gateway import reach
from landingspool.gateway import registry
from landingspool.gateway import telling

DOMAINS = 'north', 'south', 'west'
BOXES = {f'{d}{i}': d for d in DOMAINS for i in range(10)}


class View:
    """What telling needs of a view; each box has one request at 't'."""

    def __init__(self):
        self.neighbours = neighbours.Neighbours()
        self.reach = reach.Reach()
        self.suspected = set()

    def list_loads(self):
        """Give the loads of one box."""
        return {'t': [100, 1, 200, 1]}

    def suspect(self, names, now):
        """Note what other boxes say."""
        self.suspected.update(names)


class Fleet:
    """Boxes that tell each other, with a clock of its own."""

    def __init__(self):
        self.now = 100.0
        self.dead = set()
        self.cut = set()
        self.sent = []
        self.boxes = {name: self._make(name) for name in BOXES}

    def _make(self, name):
        peers = {
            other: registry.Peer(other, (other, 1), domain)
            for other, domain in BOXES.items()
            if other != name
        }
        hub = types.SimpleNamespace(
            place=types.SimpleNamespace(box=name, domain=BOXES[name]),
            view=View(),
            peering=types.SimpleNamespace(
                peers=peers,
                pick_some=lambda most: [p.address for p in peers.values()][
                    :most
                ],
            ),
        )
        hub.telling = telling.Telling(
            hub, lambda message, to: self.send(name, message, to[0])
        )
        return hub

    def send(self, name, message, to):
        """Carry a message at once."""
        self.sent.append((name, to))
        if {name, to} & self.dead or (BOXES[name] != BOXES[to] and self.cut):
            return
        part = self.boxes[to].telling
        take = {
            neighbours.Digest: part.take_digest,
            neighbours.Total: part.take_total,
        }[type(message)]
        take(message, (name, 1), self.now)

    def run(self, seconds):
        """Let all boxes tell for a time."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += telling.PERIOD_S
            for name, hub in self.boxes.items():
                if name not in self.dead:
                    hub.telling.tell(types.SimpleNamespace(now=self.now))

    def list_loads(self):
        """Give what each living box believes of the others at 't'."""
        return {
            name: hub.view.neighbours.get_load('t', len(BOXES) - 1, self.now)
            for name, hub in self.boxes.items()
            if name not in self.dead
        }

    def find_collectors(self, domain):
        """Give the collectors of a domain."""
        names = [name for name, d in BOXES.items() if d == domain]
        return set(collectors.rank(names)[: collectors.COLLECTORS])


def test_every_box_knows_what_all_others_have():
    fleet = Fleet()
    fleet.run(1.2)
    assert set(fleet.list_loads().values()) == {(2900.0, 29.0, 5800.0, 29.0)}


def test_messages_between_domains_do_not_grow_with_boxes():
    fleet = Fleet()
    fleet.run(2.0)
    fleet.sent.clear()
    fleet.run(telling.PERIOD_S)
    far = [row for row in fleet.sent if BOXES[row[0]] != BOXES[row[1]]]
    pairs = len(DOMAINS) * (len(DOMAINS) - 1)
    assert len(far) == pairs * collectors.COLLECTORS**2
    assert len(fleet.sent) < len(BOXES) * 5


def test_boxes_that_collect_may_go():
    fleet = Fleet()
    fleet.run(1.2)
    fleet.dead = fleet.find_collectors('north')
    fleet.run(collectors.SILENT_S + 2.0)
    living = len(BOXES) - len(fleet.dead)
    for tokens, running, _, _ in fleet.list_loads().values():
        # Those who are gone still count like the others.
        assert abs(running - (len(BOXES) - 1)) < 0.1
        assert abs(tokens - 100 * (len(BOXES) - 1)) < 10
    whole = fleet.boxes['north5'].view.neighbours
    assert whole.has_total(fleet.now) or 'north5' in fleet.dead
    heard = [
        hub.view.neighbours.has_total(fleet.now)
        for name, hub in fleet.boxes.items()
        if name not in fleet.dead
    ]
    assert heard == [True] * living


def test_a_domain_that_is_cut_off_counts_its_own():
    fleet = Fleet()
    fleet.run(1.2)
    fleet.cut = {'all'}
    fleet.run(2.0)
    assert all(
        abs(running - 29) < 0.1
        for _, running, _, _ in fleet.list_loads().values()
    )
    fleet.cut = set()
    fleet.run(1.0)
    assert set(fleet.list_loads().values()) == {(2900.0, 29.0, 5800.0, 29.0)}


def test_all_boxes_hear_of_a_target_that_one_finds_dark():
    fleet = Fleet()
    fleet.run(1.2)
    fleet.boxes['west3'].view.reach.note_failed('t', fleet.now)
    fleet.run(4 * telling.PERIOD_S)
    told = [hub.view.suspected for hub in fleet.boxes.values()]
    assert sum('t' in names for names in told) >= len(BOXES) - 1


def test_in_a_small_fleet_each_box_tells_all_others():
    fleet = Fleet()
    hub = fleet.boxes['north0']
    for name in list(hub.peering.peers)[6:]:
        del hub.peering.peers[name]
    fleet.sent.clear()
    hub.telling.tell(types.SimpleNamespace(now=fleet.now))
    assert len(fleet.sent) == 6
