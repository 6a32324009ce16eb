"""Computes the keys by which requests that crash targets are recognised.

Callers give each attempt a new id.  Two arrivals are the same request if path,
workspace and body are equal.  The hash of these, the fingerprint, is the same
on all boxes, and short enough for the digests that boxes send each other and
for logs.  A target may also crash under a part of a prompt, whatever else the
request holds, so that each shared part has a key as well.
"""

import hashlib

from landingspool.decisions.gateway import prompts

# Size of a fingerprint in bytes.  Accidental collisions do not occur, and
# constructing one would take 2 ** 96 attempts.
SIZE = 12
# Separates fingerprints of requests from any other use of the hash.
PURPOSE = b'request'
# Size in bytes of the length prefix of each field.
LENGTH_BYTES = 4
# Begins the keys of parts: no hash that anybody can find begins so.
PART_PREFIX = b'part:'
# Longest name of a part, in bytes, that its key contains as it is; of others
# it contains a hash of that many hexadecimal digits.
MAX_NAME_BYTES = 24
# Longest key in bytes.
MAX_KEY_BYTES = len(PART_PREFIX) + MAX_NAME_BYTES
# Shared parts of one prompt that have keys, from the first on.
MAX_PARTS = 64


def compute_fingerprint(workspace, path, body):
    """Return the fingerprint of a request.

    The workspace is a part of it, and each field is prefixed with its length,
    so no workspace can craft a request that is taken for that of another one.

    Parameters
    ----------
    workspace : str
        Empty if the request has none.
    path : str
        Including the query.
    body : bytes

    Returns
    -------
    bytes

    >>> one = compute_fingerprint('w', '/a', b'b')
    >>> len(one), one == compute_fingerprint('w', '/a', b'b')
    (12, True)
    >>> one == compute_fingerprint('w/a', '', b'b')
    False
    """
    return fingerprint_pieces(workspace, path, len(body), (body,))


def fingerprint_pieces(workspace, path, size, pieces):
    """Return the fingerprint of a request whose body is in pieces.

    Parameters
    ----------
    workspace, path : str
        As of `compute_fingerprint`.
    size : int
        Bytes of the body.
    pieces : iterable of bytes-like

    Returns
    -------
    bytes
    """
    digest = hashlib.blake2b(digest_size=SIZE, person=PURPOSE)
    for field in (workspace.encode(), path.encode()):
        digest.update(len(field).to_bytes(LENGTH_BYTES))
        digest.update(field)
    digest.update(size.to_bytes(LENGTH_BYTES))
    for piece in pieces:
        digest.update(piece)
    return digest.digest()


def list_part_keys(prompt):
    """List the keys of the shared parts of a prompt.

    The last part belongs to the request or its session: its name is new with
    each of them.

    Parameters
    ----------
    prompt : prompts.Prompt or None

    >>> part = prompts.Part
    >>> parts = (part('5C1E', 8), part('x' * 25, 4), part('e4', 2))
    >>> list_part_keys(prompts.Prompt('m', 14, 5, parts))
    (b'part:5c1e', b'part:3942c30fbf69b4d3486d3b12')
    >>> list_part_keys(None)
    ()
    """
    if prompt is None:
        return ()
    parts = prompts.list_shared(prompt)[:MAX_PARTS]
    return tuple(dict.fromkeys(compute_part_key(part.name) for part in parts))


def compute_part_key(name):
    """Return the key of a part; names that differ in case only share it."""
    data = name.lower().encode(errors='replace')
    if len(data) > MAX_NAME_BYTES:
        size = MAX_NAME_BYTES // 2
        data = hashlib.blake2b(data, digest_size=size).hexdigest().encode()
    return PART_PREFIX + data


def is_part(key):
    """Return whether a key is that of a part, not of a whole request."""
    return key.startswith(PART_PREFIX)


def describe(key):
    """Return a key as text, for the log.

    >>> describe(b'part:5c1e'), describe(bytes(2))
    ('part:5c1e', '0000')
    """
    if is_part(key):
        return key.decode(errors='replace')
    return key.hex()
