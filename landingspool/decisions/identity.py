"""Keys of cached context: chain hashes over the pieces of a prompt.

The workspace is part of the chain, so that a key of one workspace can never
name the context of another.  The weight version is hashed last, because a
scheduler knows it only once a target has been chosen.  The module also hashes
bearer keys and computes the checksums of blocks.
"""

import functools
import hashlib
import typing

PIECE_TOKENS = 2000
BYTES_PER_TOKEN = 4
PIECE_BYTES = PIECE_TOKENS * BYTES_PER_TOKEN
DIGEST_BYTES = 12


class Origin(typing.NamedTuple):
    """The workspace, model and adapter that a piece of context is for."""

    workspace: str
    model: str
    adapter: str


def estimate_tokens(text):
    """Estimate the tokens of a prompt from its size in bytes.

    The engines count exactly; here a rough estimate is sufficient.

    >>> estimate_tokens('x' * 8)
    2
    """
    return max(1, len(text.encode()) // BYTES_PER_TOKEN)


def hash_pieces(origin, prompt):
    """List the keys of the complete pieces of a prompt.

    Parameters
    ----------
    origin : Origin
    prompt : str

    Returns
    -------
    tuple of bytes
        One key for each complete piece; each depends on all before it.

    >>> one = Origin('a', 'm', '')
    >>> keys = hash_pieces(one, 'x' * PIECE_BYTES * 2)
    >>> len(keys), keys[0] == keys[1]
    (2, False)
    >>> keys == hash_pieces(one._replace(workspace='b'), 'x' * PIECE_BYTES * 2)
    False
    """
    seed = '\0'.join(origin).encode()
    chain = hashlib.blake2b(seed, digest_size=DIGEST_BYTES).digest()
    data = prompt.encode()
    keys = []
    for start in range(0, len(data) - PIECE_BYTES + 1, PIECE_BYTES):
        piece = data[start : start + PIECE_BYTES]
        chain = hashlib.blake2b(
            chain + piece, digest_size=DIGEST_BYTES
        ).digest()
        keys.append(chain)
    return tuple(keys)


@functools.lru_cache(maxsize=65536)
def add_version(piece, version):
    """Return the key of a piece's context under a weight version.

    Parameters
    ----------
    piece : bytes
    version : str

    Returns
    -------
    str
        Hexadecimal digits, as sent to targets and stores.

    >>> add_version(b'aa', 'v1') == add_version(b'aa', 'v2')
    False
    """
    data = piece + version.encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def hash_key(key):
    """Return the hash that represents a bearer key in the table."""
    return hashlib.sha256(key.encode()).hexdigest()


def checksum(data):
    """Return the checksum of a block's bytes."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()
