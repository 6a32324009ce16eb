"""What the other boxes have at the targets, from their digests.

Each box tells some others, a few times a second, what it has sent where.
A digest that is lost is replaced by the next one, so datagrams do.  Where
there are many boxes each tells only some of them; what was heard then
stands for the rest.
"""

import functools
import typing

import xxhash

# Seconds for which a digest counts: several periods, so that one lost
# datagram does not make a busy target look idle.
FRESH_S = 1.0
# Seconds for which the sums over all digests are used again.
SUM_S = FRESH_S / 10
# Boxes that one digest is sent to: of 85 boxes each then hears three in
# four within the time for which a digest counts, at 18 KB/s.
FAN_OUT = 24
# Of these, boxes of the same domain: bytes between domains are dear, and what
# near boxes have under way is like what any others have.
FAN_OUT_NEAR = 18
# Stands for the target in the word that a request was answered whole.
NO_INCARNATION = 0
# Loads of a target of which no digest tells.
NOTHING = 0, 0, 0, 0


class CrashNotice(typing.NamedTuple):
    """One target that ended under a request.

    Attributes
    ----------
    fingerprint : bytes
        Of the request.
    life : int
        Code of the life that ended (hash_target); NO_INCARNATION: the request was
        answered whole.
    age_ms : int
        Milliseconds since then.
    """

    fingerprint: bytes
    life: int
    age_ms: int


class LimitNotice(typing.NamedTuple):
    """What a target says of the requests that it takes.

    Attributes
    ----------
    life : int
        Code of the target's life (hash_target).
    per_s : float
        Requests a second from all boxes; 0: it names no limit any more.
    asked_ms, heard_ms : int
        Milliseconds since it was asked, and since its answer came.
    """

    life: int
    per_s: float
    asked_ms: int
    heard_ms: int


class LeavingNotice(typing.NamedTuple):
    """A target that has said that it leaves.

    Attributes
    ----------
    life : int
        Code of the target's life (hash_target).
    age_ms : int
        Milliseconds since it said so.
    """

    life: int
    age_ms: int


class Digest(typing.NamedTuple):
    """What one box has under way.

    Attributes
    ----------
    number : int
        Rises with each digest of a box.
    loads : dict of int to list
        For each target, by its code, the prompt tokens waiting there, the
        requests that have begun, the tokens that all of them hold, the
        requests waiting.
    unreached : tuple of str
        Targets to which it can't connect.
    rooms : dict of str to tuple of int
        For each store that it counted the life and the tokens taken.
    link_mbps : float
        Width of its link.
    endings : tuple of CrashNotice
        Targets that ended under requests, as it has seen or heard.
    limits : tuple of LimitNotice
        What targets say of the requests that they take, likewise.
    leaving : tuple of LeavingNotice
        Targets that have said that they leave, likewise.
    """

    box: str
    domain: str
    number: int
    loads: dict
    unreached: tuple[str, ...] = ()
    rooms: dict[str, tuple[int, int]] = {}
    link_mbps: float = 0.0
    endings: tuple[CrashNotice, ...] = ()
    limits: tuple[LimitNotice, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()


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


@functools.lru_cache(maxsize=4096)
def hash_target(name):
    """Give the number by which digests name a target's life.

    A name takes 14 bytes, or 28 with the start of a life, and a digest some
    seven of them, of 330 bytes in all; bytes between domains are dear, and
    digests are nearly all of them (71 boxes: 0.12 GB of 0.15 in a minute).
    Two targets with one number, once in millions of deployments, would be
    taken to have what both have.

    >>> 0 <= hash_target('t') < 2 ** 32
    True
    """
    return xxhash.xxh32_intdigest(name.encode())


def hash_loads(loads):
    """Give what a box has at each target as digests tell it.

    Parameters
    ----------
    loads : dict of str to list
        By the name of the target's life.
    """
    return {hash_target(name): load for name, load in loads.items()}


def pick_recipients(near, far, rng):
    """Pick the boxes that a digest is sent to.

    Parameters
    ----------
    near, far : sequence
        The other boxes of this domain, and of all others.
    rng : random.Random

    >>> import random
    >>> rng = random.Random(1)
    >>> sorted(pick_recipients('ab', 'cd', rng))
    ['a', 'b', 'c', 'd']
    >>> told = pick_recipients(['n'] * 30, ['f'] * 60, rng)
    >>> told.count('n'), told.count('f')
    (18, 6)
    """
    if len(near) + len(far) <= FAN_OUT:
        return [*near, *far]
    some_near = rng.sample(near, min(len(near), FAN_OUT_NEAR))
    left = FAN_OUT - len(some_near)
    return some_near + rng.sample(far, min(len(far), left))


class PeerDigests:
    """The other boxes as this one has heard of them."""

    def __init__(self):
        self._heard = {}
        self._sums = {}
        self._sums_heard = 0
        self._domains_heard = set()
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

    def exclude_stall(self, seconds):
        """Leave out seconds for which this box did not run.

        >>> neighbours = PeerDigests()
        >>> neighbours.take(Digest('b', 'd', 1, {}), 1.0)
        >>> neighbours.exclude_stall(6.0)
        >>> neighbours.list_fresh_peers(7.5)
        ['b']
        """
        for box, row in self._heard.items():
            self._heard[box] = row._replace(at=row.at + seconds)
        self._summed = None

    def list_fresh_peers(self, now):
        """List the names of the boxes heard of shortly before `now`."""
        return [box for box, row in self._heard.items() if row.is_fresh(now)]

    def get_load(self, target, counts, now):
        """Give what others have at a target.

        Parameters
        ----------
        counts : dict of str to int
            Other boxes that there are, by domain; those not heard count like
            those that were.  A domain of which none is heard is cut off, and
            reaches other targets than this box.

        Returns
        -------
        tuple of float
            As in the digests: tokens waiting, requests running, tokens
            held, requests waiting.

        >>> neighbours = PeerDigests()
        >>> loads = hash_loads({'t': [1, 2, 9, 3]})
        >>> neighbours.take(Digest('b', 'd', 1, loads), 1.0)
        >>> neighbours.get_load('t', {'d': 1}, 1.5)
        (1.0, 2.0, 9.0, 3.0)
        >>> neighbours.get_load('t', {'d': 2, 'away': 9}, 1.5)
        (2.0, 4.0, 18.0, 6.0)
        >>> neighbours.get_load('t', {'d': 1}, 3.0)
        (0.0, 0.0, 0.0, 0.0)
        """
        self._sum(now)
        if not self._sums_heard:
            return tuple(map(float, NOTHING))
        boxes = sum(counts.get(domain, 0) for domain in self._domains_heard)
        scale = max(boxes / self._sums_heard, 1.0)
        sums = self._sums.get(hash_target(target), NOTHING)
        return tuple(n * scale for n in sums)

    def _sum(self, now):
        # Once in a while: digests change some times a second, and every
        # choice asks for every target.
        if self._summed is not None and now - self._summed < SUM_S:
            return
        sums = {}
        rows = [row for row in self._heard.values() if row.is_fresh(now)]
        for row in rows:
            for target, load in row.digest.loads.items():
                known = sums.get(target, NOTHING)
                pairs = zip(known, load, strict=True)
                sums[target] = tuple(a + b for a, b in pairs)
        self._sums = sums
        self._sums_heard = len(rows)
        self._domains_heard = {row.digest.domain for row in rows}
        self._summed = now
