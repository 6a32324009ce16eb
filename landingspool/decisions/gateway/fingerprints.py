"""What a request asks for, as one name that each of its arrivals has.

Callers name each try anew.  Whether two arrivals ask for the same is told by
the path, the workspace and the body: the digest of these is the same on all
boxes, and short enough to be told between them and to stand in logs.
"""

import hashlib

# Bytes of a fingerprint: two that are equal by chance do not occur, and one
# that equals another's would take 2 ** 96 tries.
SIZE = 12
# Parts the digests of requests from any other use of the hash.
PURPOSE = b'request'
# Bytes that tell the length of a field before it.
LENGTH_BYTES = 4


def compute_fingerprint(workspace, path, body):
    """Give the fingerprint of a request.

    The workspace is a part of it, and each field stands behind its length: no
    workspace can make a request that is taken for another one's.

    Parameters
    ----------
    workspace : str
        Empty where the request has none.
    path : str
        With its query.
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
