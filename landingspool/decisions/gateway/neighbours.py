"""What the other boxes have at the targets, from their digests.

Each box tells the others, a few times a second, what it has sent where.
A digest that is lost is replaced by the next one, so datagrams do.  Where
there are many boxes each tells two collectors of its domain and gets the
total of all boxes back; while it gets none it tells some others itself, and
what was heard then stands for the rest.
"""

import typing

# Seconds for which a digest counts: several periods, so that one lost
# datagram does not make a busy target look idle.
FRESH_S = 1.0
# Seconds for which the sums over all digests are used again.
SUM_S = FRESH_S / 10
# Boxes that one digest is sent to where no collector answers: of 85 boxes
# each then hears three in four within the time for which a digest counts.
FAN_OUT = 24
# Loads of a target of which no digest tells.
NOTHING = 0, 0, 0, 0


class Digest(typing.NamedTuple):
    """What one box has under way.

    Attributes
    ----------
    number : int
        Rises with each digest of a box.
    loads : dict of str to list
        For each target the prompt tokens waiting there, the requests that
        have begun, the tokens that all of them hold, the requests waiting.
    unreached : tuple of str
        Targets to which it can't connect.
    """

    box: str
    domain: str
    number: int
    loads: dict
    unreached: tuple[str, ...] = ()


class Ask(typing.NamedTuple):
    """Asks a box how fresh its table is."""

    box: str
    number: int


class Tell(typing.NamedTuple):
    """Answers an Ask, with its number."""

    box: str
    number: int
    table: int
    proof_s: float


class Heard(typing.NamedTuple):
    """The newest digest of a box, and when it came."""

    digest: Digest
    at: float

    def is_fresh(self, now):
        """Tell whether it still counts."""
        return now - self.at < FRESH_S


class Total(typing.NamedTuple):
    """What the boxes of a domain, or of all domains, have under way.

    Attributes
    ----------
    box, domain : str
        Of the collector.
    number : int
        Rises with each total of a collector.
    whole : bool
        Whether the other domains are in it.
    boxes : int
        Boxes that are counted.
    loads : dict of str to list
        As in a digest.
    unreached : tuple of str
        Targets to which any of these boxes can't connect.
    """

    box: str
    domain: str
    number: int
    whole: bool
    boxes: int
    loads: dict
    unreached: tuple[str, ...] = ()


class HeardTotal(typing.NamedTuple):
    """The newest total of a collector or domain, and when it came."""

    total: Total
    at: float

    def is_fresh(self, now):
        """Tell whether it still counts."""
        return now - self.at < FRESH_S


class Neighbours:
    """The other boxes as this one has heard of them."""

    def __init__(self):
        self._heard = {}
        self._parts = {}
        self._whole = None
        self._told = {}
        self._sums = {}
        self._sums_heard = 0
        self._summed = None

    def take(self, digest, now):
        """Take in a digest."""
        known = self._heard.get(digest.box)
        if known is not None and known.digest.number >= digest.number:
            if known.is_fresh(now):
                # An older one that was overtaken on its way.
                return
        self._heard[digest.box] = Heard(digest, now)
        self._summed = None

    def take_total(self, total, now):
        """Take in a total: of another domain, or of all."""
        if total.whole:
            self._whole = HeardTotal(total, now)
            return
        known = self._parts.get(total.domain)
        if known is not None and known.is_fresh(now):
            if known.total.box == total.box:
                if known.total.number >= total.number:
                    return
        self._parts[total.domain] = HeardTotal(total, now)

    def note_told(self, loads):
        """Note what this box told of itself: it is in the totals."""
        self._told = loads

    def list_heard(self, now):
        """List the names of the boxes heard of shortly before `now`."""
        return [box for box, row in self._heard.items() if row.is_fresh(now)]

    def has_total(self, now):
        """Tell whether a total was heard shortly before `now`."""
        return self._whole is not None and self._whole.is_fresh(now)

    def add_up(self, own, now):
        """Add up what the boxes of this domain tell.

        Parameters
        ----------
        own : Digest
            Of this box.

        Returns
        -------
        Total
            Not whole.
        """
        digests = [own]
        for row in self._heard.values():
            if row.is_fresh(now) and row.digest.domain == own.domain:
                digests.append(row.digest)
        return Total(
            box=own.box,
            domain=own.domain,
            number=own.number,
            whole=False,
            boxes=len(digests),
            loads=add_loads([digest.loads for digest in digests]),
            unreached=join_names([d.unreached for d in digests]),
        )

    def add_domains(self, part, now):
        """Add what other domains tell to the total of this one.

        Returns
        -------
        Total
            Whole.
        """
        others = [
            row.total
            for domain, row in self._parts.items()
            if domain != part.domain and row.is_fresh(now)
        ]
        totals = [part, *others]
        return part._replace(
            whole=True,
            boxes=sum(total.boxes for total in totals),
            loads=add_loads([total.loads for total in totals]),
            unreached=join_names([total.unreached for total in totals]),
        )

    def get_load(self, target, boxes, now):
        """Give what others have at a target.

        Parameters
        ----------
        boxes : int
            Other boxes that there are; those not heard count like those
            that were.

        Returns
        -------
        tuple of float
            As in the digests: tokens waiting, requests running, tokens
            held, requests waiting.

        >>> neighbours = Neighbours()
        >>> loads = {'t': [1, 2, 9, 3]}
        >>> neighbours.take(Digest('b', 'd', 1, loads), 1.0)
        >>> neighbours.get_load('t', 1, 1.5)
        (1.0, 2.0, 9.0, 3.0)
        >>> neighbours.get_load('t', 1, 3.0)
        (0.0, 0.0, 0.0, 0.0)
        >>> total = Total('b', 'd', 1, True, 2, {'t': [4, 2, 9, 3]})
        >>> neighbours.take_total(total, 4.0)
        >>> neighbours.note_told({'t': [1, 1, 5, 1]})
        >>> neighbours.get_load('t', 1, 4.5)
        (3.0, 1.0, 4.0, 2.0)
        """
        if self.has_total(now):
            return self._get_from_total(target, boxes)
        self._sum(now)
        if not self._sums_heard:
            return tuple(map(float, NOTHING))
        scale = max(boxes / self._sums_heard, 1.0)
        return tuple(n * scale for n in self._sums.get(target, NOTHING))

    def _get_from_total(self, target, boxes):
        total = self._whole.total
        scale = max(boxes / max(total.boxes - 1, 1), 1.0)
        all_boxes = total.loads.get(target, NOTHING)
        own = self._told.get(target, NOTHING)
        pairs = zip(all_boxes, own, strict=True)
        return tuple(max(a - b, 0) * scale for a, b in pairs)

    def _sum(self, now):
        # Once in a while: digests change some times a second, and every
        # choice asks for every target.
        if self._summed is not None and now - self._summed < SUM_S:
            return
        rows = [row for row in self._heard.values() if row.is_fresh(now)]
        self._sums = add_loads([row.digest.loads for row in rows])
        self._sums_heard = len(rows)
        self._summed = now


def add_loads(several):
    """Add up the loads at each target.

    >>> add_loads([{'a': [1, 2, 3, 4]}, {'a': [1, 0, 0, 0]}])
    {'a': [2, 2, 3, 4]}
    """
    sums = {}
    for loads in several:
        for target, load in loads.items():
            known = sums.get(target, NOTHING)
            pairs = zip(known, load, strict=True)
            sums[target] = [a + b for a, b in pairs]
    return sums


def join_names(several):
    """Join lists of names, each name once.

    >>> join_names([('b',), ('a', 'b')])
    ('a', 'b')
    """
    return tuple(sorted({name for names in several for name in names}))
