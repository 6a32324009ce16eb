"""Deals the engines of a service and the boxes before them into groups.

Where boxes outnumber the slots of an engine, a box holds less than one slot of
each engine: its own requests tell it nothing of an engine's load, its
connections idle out before the next request, and reports of a sample of the
other boxes are older than a short request takes.  So the engines of each
failure domain are dealt into groups, and the boxes of the domain likewise.  A
box sends to the engines of its own group first, and the boxes of a group
report to each other completely; spillover.py decides what leaves a group.

Every box computes the same groups from the lists of boxes and engines, without
messages.  Two lists may be in use at the same time, so nothing relies on
agreement: a box outside a group may send to its engines at any time, and its
digests say so like those of any other.

Source: Beyer and others, "Site Reliability Engineering", 2016, chapter 20
(deterministic subsetting); Mirrokni, Thorup and Zadimoghaddam, "Consistent
hashing with bounded loads", 2018.
"""

import functools
import typing

from landingspool.decisions import ownership

# Minimum number of engines of a group: three still serve while one loads new
# weights or is replaced, and prompts of both sizes find engines of their own.
MIN_GROUP_ENGINES = 4
# Minimum number of slots of a group: with as many, the number taken varies by
# a tenth of them by chance alone (the root of 100), so that groups of the same
# demand seldom overflow.
MIN_GROUP_SLOTS = 96
# Boxes for each slot of an engine from which on engines are dealt into groups.
# With fewer a box has half a slot of each engine and more: its own requests
# tell it a good part of an engine's load, and its connections stay in use.
MIN_BOXES_PER_SLOT = 2
# Maximum number of boxes of a group: each sends its digests to all others, and
# to some outside the group (peer_digests.FAN_OUT).
MAX_GROUP_BOXES = 19


class Group(typing.NamedTuple):
    """The engines of one group, and the boxes that send to them first.

    Attributes
    ----------
    domain : str
    index : int
        Number of the group in its domain.
    engines : tuple of str
        Names of the engines' incarnations.
    boxes : tuple of str
    slots : int
        Slots of each engine.
    """

    domain: str
    index: int
    engines: tuple[str, ...]
    boxes: tuple[str, ...]
    slots: int

    @property
    def key(self):
        """Identifies the group within its service."""
        return self.domain, self.index


class Slots(typing.NamedTuple):
    """Stands for an engine of a group of which only the slots matter."""

    slots: int


class Deal(typing.NamedTuple):
    """All groups of one service, as one box sees them.

    Attributes
    ----------
    groups : dict of tuple to Group
        By the key of the group.
    own : Group or None
        The group of this box; None if its domain has no engines.
    """

    groups: dict
    own: Group | None


class Subsets:
    """The groups of all services that have them, as one box sees them."""

    def __init__(self):
        self._known = None
        self._deals = {}
        self._peers = frozenset()

    def update(self, box, boxes, engines):
        """Deal the groups anew if boxes or engines have changed.

        Parameters
        ----------
        box : str
            Name of this box.
        boxes : dict of str to str
            Failure domain of each box, this one included.
        engines : dict of str to sequence of fleet.Entry
            Engines of each service.

        Returns
        -------
        bool
            Whether anything has changed.
        """
        known = (
            frozenset(boxes.items()),
            {
                service: frozenset((e.domain, e.name) for e in entries)
                for service, entries in engines.items()
            },
        )
        if known == self._known:
            return False
        self._known = known
        self._deals = {
            service: deal_groups(service, box, boxes, entries)
            for service, entries in engines.items()
            if is_grouped(len(boxes), entries)
        }
        self._deals = {
            service: deal
            for service, deal in self._deals.items()
            if all(
                len(group.boxes) <= MAX_GROUP_BOXES
                for group in deal.groups.values()
            )
        }
        self._peers = frozenset(
            name
            for _, own in self.list_own()
            for name in own.boxes
            if name != box
        )
        return True

    def get(self, service):
        """Return the Deal of a service; None if it has no groups."""
        return self._deals.get(service)

    def list_services(self):
        """Return the names of the services that have groups."""
        return tuple(self._deals)

    def list_own(self):
        """Return the services that have groups, with this box's Group."""
        return [
            (service, deal.own)
            for service, deal in self._deals.items()
            if deal.own is not None
        ]

    def list_engines(self):
        """Return the names of the engines of this box's groups."""
        return [name for _, own in self.list_own() for name in own.engines]

    def list_peers(self):
        """Return the names of the other boxes of this box's groups."""
        return self._peers

    def list_boxes(self, names):
        """Return the boxes of other groups whose engines are given.

        Parameters
        ----------
        names : collection of str
            Names of engines.
        """
        wanted, boxes = set(names), set()
        for deal in self._deals.values():
            for group in deal.groups.values():
                if group is not deal.own and wanted.intersection(
                    group.engines
                ):
                    boxes.update(group.boxes)
        return boxes


def is_grouped(boxes, entries):
    """Return whether the engines of a service are dealt into groups.

    Parameters
    ----------
    boxes : int
    entries : sequence of fleet.Entry

    >>> import collections
    >>> entry = collections.namedtuple('Entry', 'slots')
    >>> is_grouped(62, [entry(24)] * 36), is_grouped(18, [entry(24)] * 36)
    (True, False)
    >>> is_grouped(62, [entry(24)] * 6)
    False
    """
    if not entries:
        return False
    slots = max(entries[0].slots, 1)
    size = compute_group_size(slots)
    if size > MIN_GROUP_ENGINES:
        # Groups of many small engines would have nearly all boxes of a domain.
        return False
    return boxes >= MIN_BOXES_PER_SLOT * slots and len(entries) >= 2 * size


def compute_group_size(slots):
    """Return the number of engines of a group for an engine's slots.

    >>> compute_group_size(48), compute_group_size(24), compute_group_size(12)
    (4, 4, 8)
    """
    return max(MIN_GROUP_ENGINES, -(-MIN_GROUP_SLOTS // slots))


def deal_groups(service, box, boxes, entries):
    """Deal the engines of a service and all boxes into groups.

    Parameters
    ----------
    service : str
    box : str
        Name of this box.
    boxes : dict of str to str
        Failure domain of each box, this one included.
    entries : sequence of fleet.Entry

    Returns
    -------
    Deal
    """
    slots = max(entries[0].slots, 1)
    size = compute_group_size(slots)
    # Groups are dealt by the ids of targets, so that a restart moves none.
    names, targets, members = {}, {}, {}
    for entry in entries:
        names[entry.target] = entry.name
        targets.setdefault(entry.domain, []).append(entry.target)
    for name, domain in boxes.items():
        members.setdefault(domain, []).append(name)
    groups, own = {}, None
    for domain in sorted(targets):
        ids = tuple(sorted(targets[domain]))
        near = tuple(sorted(members.get(domain, ())))
        count = max(len(ids) // size, 1)
        salt = f'{service}/{domain}'
        parts = zip(
            deal_evenly(ids, count, salt),
            deal_evenly(near, count, salt),
            strict=True,
        )
        for index, (some, senders) in enumerate(parts):
            engines = tuple(names[target] for target in some)
            group = Group(domain, index, engines, senders, slots)
            groups[group.key] = group
            if box in senders:
                own = group
    return Deal(groups, own)


@functools.lru_cache(maxsize=256)
def deal_evenly(names, count, salt):
    """Deal names to a number of groups whose sizes differ by one at most.

    Each name goes to the group with its highest score that has room, so that
    a name that comes or goes moves few others.

    Parameters
    ----------
    names : tuple of str
        In ascending order.
    count : int
    salt : str

    Returns
    -------
    tuple of tuple of str

    >>> [len(group) for group in deal_evenly(tuple('abcdefghijk'), 3, 's')]
    [4, 4, 3]
    """
    if count == 1:
        return (names,)
    groups = [[] for _ in range(count)]
    least, larger = divmod(len(names), count)
    rooms = [least + (index < larger) for index in range(count)]
    order = sorted(names, key=lambda name: ownership.score(salt, name))
    for name in order:
        free = [n for n in range(count) if len(groups[n]) < rooms[n]]
        best = max(free, key=lambda n: ownership.score(f'{salt}/{n}', name))
        groups[best].append(name)
    return tuple(tuple(sorted(group)) for group in groups)
