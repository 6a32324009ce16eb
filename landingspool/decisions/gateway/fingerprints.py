"""Computes a fingerprint that all arrivals of the same request share.

Callers give each attempt a new id.  Two arrivals are the same request if path,
workspace and body are equal.  The hash of these is the same on all boxes, and
short enough for the digests that boxes send each other and for logs.
"""

import hashlib

# Size of a fingerprint in bytes.  Accidental collisions do not occur, and
# constructing one would take 2 ** 96 attempts.
SIZE = 12
# Separates fingerprints of requests from any other use of the hash.
PURPOSE = b'request'
# Size in bytes of the length prefix of each field.
LENGTH_BYTES = 4


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
    digest = hashlib.blake2b(digest_size=SIZE, person=PURPOSE)
    for field in (workspace.encode(), path.encode(), body):
        digest.update(len(field).to_bytes(LENGTH_BYTES))
        digest.update(field)
    return digest.digest()
