"""Sums up the load that peers put on targets, from their digests.

Each box sends its peers a digest a few times a second: what it has sent to
which target.  A lost digest is replaced by the next one, so datagrams suffice.
If there are many boxes each sends it only to some, and the digests received
stand for the others.
"""

import functools
import typing

import msgspec
import xxhash

from landingspool.decisions import decoding
from landingspool.decisions.gateway import ballots
from landingspool.decisions.gateway import fingerprints

# Seconds for which a digest counts: several periods, so that one lost datagram
# does not make a busy target look idle.
FRESH_S = 1.0
# Seconds for which the sums over all digests are cached.
SUM_CACHE_S = FRESH_S / 10
# Peers that one digest is sent to: with 85 boxes each then receives three in
# four of the digests within the time for which they count, at 18 KB/s.
FAN_OUT = 24
# Of these, peers in the same domain: traffic between domains is expensive, and
# the load from near boxes resembles that from any others.
FAN_OUT_NEAR = 18
# Stands for the target in the notice that a request was answered completely.
NO_INCARNATION = 0
# Highest number of tokens or requests that one box can have at a target; a
# digest with more is not valid.
MAX_FIGURE = 1e9
# Highest age of a version in milliseconds, far above any bound: ages above the
# bound are told as the bound.
MAX_AGE_MS = 24 * 3600 * 1000
# Load of a target that is in no digest.
NO_LOAD = 0.0, 0.0, 0.0, 0.0


Fingerprint = typing.Annotated[
    bytes, msgspec.Meta(max_length=fingerprints.MAX_KEY_BYTES)
]


class CrashNotice(typing.NamedTuple):
    """One target that crashed under a request.

    Attributes
    ----------
    fingerprint : bytes
        Fingerprint of the request.
    incarnation : int
        Hash of the crashed incarnation's name (hash_target); NO_INCARNATION:
        the request was answered completely.
    age_ms : int
        Milliseconds since then.
    """

    fingerprint: Fingerprint
    incarnation: decoding.Hash
    age_ms: decoding.Milliseconds


class LimitNotice(typing.NamedTuple):
    """The limit that a target advertises.

    Attributes
    ----------
    incarnation : int
        Hash of the incarnation's name (hash_target).
    per_s : float
        Requests a second from all boxes; 0: it advertises no limit any more.
    asked_ms, heard_ms : int
        Milliseconds since the request was sent, and since its answer was
        received.
    """

    incarnation: decoding.Hash
    per_s: decoding.Figure
    asked_ms: decoding.Milliseconds
    heard_ms: decoding.Milliseconds


class LeavingNotice(typing.NamedTuple):
    """A target that has announced that it is leaving.

    Attributes
    ----------
    incarnation : int
        Hash of the incarnation's name (hash_target).
    age_ms : int
        Milliseconds since the announcement.
    """

    incarnation: decoding.Hash
    age_ms: decoding.Milliseconds


class VersionNotice(typing.NamedTuple):
    """A published version of a model's weights.

    Attributes
    ----------
    age_ms : int
        Milliseconds since it was published.
    is_witnessed : bool
        Whether a box read its record as it came; otherwise `age_ms` is the
        greatest age that is possible.
    """

    model: str
    version: decoding.Count
    age_ms: decoding.Milliseconds
    is_witnessed: bool = True


class AnswerReport(typing.NamedTuple):
    """The time that a target took to answer a request of the box.

    Attributes
    ----------
    incarnation : int
        Hash of the incarnation's name (hash_target).
    tokens : int
        Prompt tokens that it read; 0 for a plain request.
    units : int
        Tenths of a millisecond from the request to the first byte.
    """

    incarnation: decoding.Hash
    tokens: decoding.Whole
    units: decoding.Whole


class GroupLoad(typing.NamedTuple):
    """The load of one group as its boxes report it.

    Attributes
    ----------
    service : int
        Hash of the service's name.
    index : int
        Number of the group in the domain of the box that reports it.
    engines : int
        Engines that may get requests.
    tokens, running, held, waiting : int
        Over these engines, as in the loads of a digest.
    """

    service: decoding.Hash
    index: decoding.Whole
    engines: decoding.Whole
    tokens: decoding.Whole
    running: decoding.Whole
    held: decoding.Whole
    waiting: decoding.Whole


class Digest(typing.NamedTuple):
    """What one box reports to its peers about its requests and targets.

    Attributes
    ----------
    number : int
        Increases with each digest of a box.
    loads : dict of int to list
        For each target, by its hash: the prompt tokens waiting there, the
        requests running, the tokens that all of them hold, the requests
        waiting.
    unreached : tuple of str
        Targets to which the box can't connect.
    rooms : dict of str to tuple of int
        For each store that it counted, the incarnation and the tokens used.
    link_mbps : float
        Capacity of its link, Mbit/s.
    endings : tuple of CrashNotice
        Targets that crashed under requests, as seen or received by the box.
    limits : tuple of LimitNotice
        Limits that targets advertise, likewise.
    leaving : tuple of LeavingNotice
        Targets that have announced that they are leaving, likewise.
    slow_stores : dict of str to int
        Milliseconds by which fetches from a store were delayed, if it seems
        slow.
    usage : dict of int to bytes
        What workspaces ask of scarce services and get, by the hash of the
        service (workspace_usage.encode_rows); empty in most digests.
    answers : tuple of AnswerReport
        Answers to the box's requests since its last digest.
    groups : tuple of GroupLoad
        The load of the groups of engines that the box sends to first.
    partitioned : bool
        Whether the box reaches no target; then it reports none as unreached.
    versions : tuple of VersionNotice
        Versions of weights that were published a short time ago; empty in
        most digests.
    ballot : int
        Highest one that the box has heard of, shortly after it was raised; 0
        in most digests.
    """

    box: str
    domain: str
    number: decoding.Count
    loads: dict[decoding.Hash, tuple[float, float, float, float]]
    unreached: tuple[str, ...] = ()
    rooms: dict[str, tuple[decoding.Whole, decoding.Whole]] = {}
    link_mbps: decoding.Figure = 0.0
    endings: tuple[CrashNotice, ...] = ()
    limits: tuple[LimitNotice, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()
    slow_stores: dict[str, decoding.Whole] = {}
    usage: dict[decoding.Hash, bytes] = {}
    answers: tuple[AnswerReport, ...] = ()
    groups: tuple[GroupLoad, ...] = ()
    partitioned: bool = False
    versions: tuple[VersionNotice, ...] = ()
    ballot: ballots.Ballot = 0


class ProofQuery(typing.NamedTuple):
    """Asks a box how fresh its table is."""

    box: str
    number: decoding.Count


class ProofReply(typing.NamedTuple):
    """Answers a ProofQuery, with its number."""

    box: str
    number: decoding.Count
    table: decoding.Count
    proof_s: decoding.Age


class Received(typing.NamedTuple):
    """The newest digest of a box, and when it was received."""

    digest: Digest
    at: float

    def is_fresh(self, now):
        """Return whether the digest still counts."""
        return now - self.at < FRESH_S


@functools.lru_cache(maxsize=4096)
def hash_target(name):
    """Return the hash by which digests identify a target's incarnation.

    A name takes 14 bytes, or 28 with the incarnation's start, and a digest has
    some seven of them in 330 bytes.  Traffic between domains is expensive, and
    digests are nearly all of it (71 boxes: 0.12 GB of 0.15 in a minute).  If
    two targets had the same hash, which happens once in millions of
    deployments, each would be assigned the load of both.

    >>> 0 <= hash_target('t') < 2 ** 32
    True
    """
    return xxhash.xxh32_intdigest(name.encode())


def hash_loads(loads):
    """Return the load of a box at each target as digests encode it.

    Figures beyond those of a valid digest are told as its highest.

    Parameters
    ----------
    loads : dict of str to list
        By the name of the target's incarnation.
    """
    return {
        hash_target(name): [min(figure, MAX_FIGURE) for figure in load]
        for name, load in loads.items()
    }


def is_plausible(digest):
    """Return whether the figures of a digest may be those of one box.

    >>> is_plausible(Digest('b', 'd', 1, {7: (1, 2, 9, 3)}))
    True
    >>> is_plausible(Digest('b', 'd', 1, {7: (1, -2, 9, 3)}))
    False
    >>> is_plausible(Digest('b', 'd', 1, {7: (float('nan'), 2, 9, 3)}))
    False
    """
    return all(
        0 <= figure <= MAX_FIGURE
        for load in digest.loads.values()
        for figure in load
    ) and all(abs(notice.age_ms) <= MAX_AGE_MS for notice in digest.versions)


def is_urgent(digest):
    """Return whether a digest has notices that all boxes need soon.

    >>> is_urgent(Digest('b', 'd', 1, {})), is_urgent(
    ...     Digest('b', 'd', 1, {}, unreached=('t',))
    ... )
    (False, True)
    """
    return digest.partitioned or any(
        (digest.unreached, digest.endings, digest.limits, digest.leaving)
    )


def pick_recipients(near, far, rng):
    """Pick the boxes that a digest is sent to.

    Parameters
    ----------
    near, far : sequence
        The peers in this domain, and in all others.
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
    """The newest digests of the other boxes."""

    def __init__(self):
        self._received = {}
        # Digests by box whose loads are in the totals, and these by target.
        self._counted = {}
        self._totals = {}
        self._group_targets = []
        self._sums = PeerLoads()
        self._summed = None

    def take(self, digest, now):
        """Store a digest unless a newer one is known."""
        known = self._received.get(digest.box)
        if known is not None and known.digest.number >= digest.number:
            if known.is_fresh(now):
                # An older digest that arrived out of order.
                return
        self._received[digest.box] = Received(digest, now)
        self._summed = None

    def exclude_stall(self, seconds):
        """Exclude a stall of this box from the age of digests.

        >>> digests = PeerDigests()
        >>> digests.take(Digest('b', 'd', 1, {}), 1.0)
        >>> digests.exclude_stall(6.0)
        >>> digests.list_fresh_peers(7.5)
        ['b']
        """
        for box, row in self._received.items():
            self._received[box] = row._replace(at=row.at + seconds)
        self._summed = None

    def list_fresh_peers(self, now):
        """List the names of the boxes whose digest is fresh at `now`."""
        return [digest.box for digest in self.list_fresh(now)]

    def was_heard(self, box, now, within_s):
        """Return whether a digest of a box came in the last seconds."""
        row = self._received.get(box)
        return row is not None and now - row.at < within_s

    def list_fresh(self, now):
        """List the newest digests of the boxes that are fresh at `now`."""
        return [
            row.digest for row in self._received.values() if row.is_fresh(now)
        ]

    def set_group_targets(self, targets):
        """Set the engines of this box's groups.

        All boxes of a group report to each other, and other boxes with
        requests at its engines report to them.  So the digests received are
        all that bear on these engines, and stand for no others.

        Parameters
        ----------
        targets : collection of str
            Names of the engines' incarnations.

        >>> digests = PeerDigests()
        >>> digests.set_group_targets(['t'])
        >>> loads = hash_loads({'t': [1, 2, 9, 3], 'u': [1, 2, 9, 3]})
        >>> digests.take(Digest('b', 'd', 1, loads), 1.0)
        >>> found = digests.sum_loads({'d': 2}, 1.5)
        >>> found.get('t'), found.get('u')
        ((1.0, 2.0, 9.0, 3.0), (2.0, 4.0, 18.0, 6.0))
        """
        self._group_targets = [hash_target(name) for name in targets]
        self._summed = None

    def sum_loads(self, counts, now):
        """Return the loads that peers put on all targets.

        Parameters
        ----------
        counts : dict of str to int
            Number of peers, by domain.  Peers without a digest count like
            those with one.  A domain without any digest is partitioned from
            this box and reaches other targets.

        Returns
        -------
        PeerLoads

        >>> digests = PeerDigests()
        >>> loads = hash_loads({'t': [1, 2, 9, 3]})
        >>> digests.take(Digest('b', 'd', 1, loads), 1.0)
        >>> digests.sum_loads({'d': 1}, 1.5).get('t')
        (1.0, 2.0, 9.0, 3.0)
        >>> digests.sum_loads({'d': 2, 'away': 9}, 1.7).get('t')
        (2.0, 4.0, 18.0, 6.0)
        >>> digests.sum_loads({'d': 1}, 3.0).get('t')
        (0.0, 0.0, 0.0, 0.0)
        """
        # Computed only every SUM_CACHE_S: digests change some times a second,
        # and every routing decision reads the load of every target.
        if self._summed is None or now - self._summed >= SUM_CACHE_S:
            self._update_totals(now)
            sums = self._totals
            loads = scale_up(sums, self._counted.values(), counts)
            for target in self._group_targets:
                if target in sums:
                    loads[target] = sums[target]
            self._sums = PeerLoads(loads)
            self._summed = now
        return self._sums

    def _update_totals(self, now):
        """Count the loads of exactly the newest digests that are fresh.

        Only what has changed is added and subtracted: most digests have
        changed since the last choice of a target in few boxes only.
        """
        for box, row in self._received.items():
            wanted = row.digest if row.is_fresh(now) else None
            counted = self._counted.get(box)
            if counted is wanted:
                continue
            if counted is not None:
                add_loads(self._totals, self._counted.pop(box).loads, -1)
            if wanted is not None:
                add_loads(self._totals, wanted.loads, 1)
                self._counted[box] = wanted


class PeerLoads(typing.NamedTuple):
    """The loads that peers put on targets, by the hash of the target."""

    loads: dict = {}

    def get(self, target):
        """Return the load of a target, by the name of its incarnation.

        Returns
        -------
        tuple of float
            As in the digests: tokens waiting, requests running, tokens held,
            requests waiting.
        """
        return self.loads.get(hash_target(target), NO_LOAD)


def add_loads(totals, loads, sign):
    """Add the loads of one digest to totals, or subtract them.

    Parameters
    ----------
    totals : dict of int to tuple
        By target; updated.
    loads : dict of int to list
        As in a Digest.
    sign : int
        1 or -1.

    >>> totals = {}
    >>> add_loads(totals, {7: [1, 2, 9, 3], 8: [0, 1, 5, 0]}, 1)
    >>> add_loads(totals, {7: [1, 2, 9, 3]}, -1)
    >>> totals
    {8: (0.0, 1.0, 5.0, 0.0)}
    """
    for target, (tokens, running, held, waiting) in loads.items():
        known = totals.get(target, NO_LOAD)
        row = (
            known[0] + sign * tokens,
            known[1] + sign * running,
            known[2] + sign * held,
            known[3] + sign * waiting,
        )
        if any(row):
            totals[target] = row
        else:
            totals.pop(target, None)


def scale_up(sums, digests, counts):
    """Return the sums of the digests' loads, scaled to all peers.

    Parameters
    ----------
    sums : dict of int to tuple
        Loads by target.
    digests : collection of Digest
        Those that were summed up.
    counts : dict of str to int
        Number of peers, by domain.
    """
    heard_of = {digest.domain for digest in digests}
    boxes = sum(counts.get(domain, 0) for domain in heard_of)
    scale = max(boxes / len(digests), 1.0) if digests else 1.0
    if scale == 1.0:
        return dict(sums)
    return {
        target: tuple(n * scale for n in load) for target, load in sums.items()
    }
