"""Remembers which software began each stream, so that it can be continued.

What two versions of a target's software write doesn't fit together, so a
stream is continued only by targets of the version that began it.  Callers name
the attempt that brought the first event.  That name is only a claim: it is
looked up under the caller's workspace and route, so that it finds no stream of
another workspace and replaces none.
"""

import collections
import hashlib
import typing

from landingspool.decisions.gateway import bounded

# Streams that are remembered: those that begin in MAX_AGE_S at some 250 a
# second, in 5 MB.
MAX_KNOWN = 16_384
# Seconds for which a stream is remembered at most.
MAX_AGE_S = 60.0
KEY_BYTES = 16
LENGTH_BYTES = 4


class Binding(typing.NamedTuple):
    """The targets that may continue a stream.

    Attributes
    ----------
    service : str
    software : str
        Version of the software that sent its first event.
    """

    service: str
    software: str


class Known(typing.NamedTuple):
    """What is known of one stream.

    Attributes
    ----------
    binding : Binding or None
        None if the same attempt was named for streams of several versions.
    since : float
        When its first event was forwarded.
    until : float
        When its caller gives up.
    """

    binding: Binding | None
    since: float
    until: float


def make_key(workspace, route, attempt):
    """Return the key of the stream that an attempt began.

    Parameters
    ----------
    workspace : str
        Empty if the request has none.
    route : routes.Route
    attempt : str
        The caller's id of the attempt.

    Returns
    -------
    bytes
        KEY_BYTES long.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for field in (workspace, route.host, route.prefix, attempt):
        value = field.encode()
        digest.update(len(value).to_bytes(LENGTH_BYTES))
        digest.update(value)
    return digest.digest()


class Bindings:
    """The streams of one box, and those that peers have told it.

    >>> bindings = Bindings()
    >>> one, other = Binding('s', 'v1'), Binding('s', 'v2')
    >>> bindings.put(b'a', one, 0.0, 9.0)
    >>> bindings.find(b'a', 5.0).binding.software
    'v1'
    >>> bindings.put(b'a', other, 1.0, 9.0)
    >>> bindings.find(b'a', 5.0).binding is None
    True
    >>> bindings.find(b'a', 9.0) is None
    True
    """

    def __init__(self):
        self._known = collections.OrderedDict()

    def put(self, key, binding, since, until):
        """Record the binding of a stream.

        Parameters
        ----------
        key : bytes
            As returned by make_key.
        binding : Binding or None
        since, until : float
            As in Known; `until` is at most MAX_AGE_S later.
        """
        known = self.find(key, since)
        if known is not None and known.binding != binding:
            binding = None
        until = min(until, since + MAX_AGE_S)
        self._known[key] = Known(binding, since, until)
        self._known.move_to_end(key)
        bounded.trim(self._known, MAX_KNOWN)

    def find(self, key, now):
        """Return what is Known of a stream, or None."""
        known = self._known.get(key)
        return known if known is not None and now < known.until else None

    def list_live(self, now):
        """List the (key, Known) of the streams that may be continued."""
        return [row for row in self._known.items() if now < row[1].until]

    def drop_expired(self, now):
        """Forget the streams whose callers have given up."""
        expired = [k for k, row in self._known.items() if now >= row.until]
        for key in expired:
            del self._known[key]
