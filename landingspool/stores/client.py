"""Client of store boxes: lists and frees the blocks that they hold."""

import typing

import msgspec

from landingspool.decisions import decoding
from landingspool.decisions import kv_offload
from landingspool.decisions import records
from landingspool import http

TIMEOUT_S = 2.0
# Bound of a listing: 50,000 writes of 300 bytes.
LISTING_MAX_BYTES = 16 * 1024 * 1024
# The same for a free, of which only the status is used.
CONFIRMATION_MAX_BYTES = 64 * 1024


class Meta(msgspec.Struct):
    """Metadata written with a block."""

    key: str
    pool: str
    workspace: str
    cost_s: decoding.Figure
    depth: decoding.Count


class Row(msgspec.Struct):
    """One write of a listing."""

    write: str
    length: decoding.Count
    checksum: str
    sealed: bool
    age: decoding.Seconds
    meta: Meta


class Listing(msgspec.Struct):
    """Response to a read of the listing."""

    writes: list[Row]
    room: decoding.Whole
    link_bytes: decoding.Count


class LinkRecord(msgspec.Struct):
    """What a listing tells of the link."""

    link_bytes: decoding.Count


LISTING_DECODER = msgspec.json.Decoder(Listing)
LINK_DECODER = msgspec.json.Decoder(LinkRecord)


class Contents(typing.NamedTuple):
    """Contents of a store.

    Attributes
    ----------
    rows : list
        Pairs of a pool's name and a kv_offload.Listed.
    room : int
        Total capacity for blocks, in bytes.
    link_bytes : int
        Bytes transferred over the store's link.
    """

    rows: list
    room: int
    link_bytes: int


async def fetch_listing(client, member):
    """Read the contents of a store.

    Returns
    -------
    Contents or None
        None if the store did not respond or its response is malformed.
    """
    address = http.Address(member.host, member.port)
    try:
        reply = await client.fetch(
            address,
            'GET',
            '/list',
            timeout=TIMEOUT_S,
            max_bytes=LISTING_MAX_BYTES,
        )
        listing = decoding.decode(
            'listing', LISTING_DECODER.decode, reply.body
        )
    except (http.Unreachable, decoding.Malformed):
        return None
    rows = [make_row(member.name, row) for row in listing.writes]
    return Contents(rows, listing.room, listing.link_bytes)


def make_row(store, row):
    """Return the pool and the kv_offload.Listed of one write."""
    block = records.Block(
        row.meta.key, store, row.write, row.length, row.checksum
    )
    listed = kv_offload.Listed(
        block,
        row.meta.workspace,
        row.sealed,
        row.age,
        row.meta.cost_s,
        row.meta.depth,
    )
    return row.meta.pool, listed


async def free_write(client, member, write):
    """Free a write; return whether the store confirmed it."""
    address = http.Address(member.host, member.port)
    try:
        reply = await client.fetch(
            address,
            'POST',
            '/free',
            {'write': write},
            timeout=TIMEOUT_S,
            max_bytes=CONFIRMATION_MAX_BYTES,
        )
    except http.Unreachable:
        return False
    return reply.status == 200


async def fetch_link_bytes(client, address):
    """Return the bytes transferred over a store's link, or 0.

    Returns
    -------
    int
        0 if the store did not respond or its response is malformed.
    """
    try:
        reply = await client.fetch(
            address,
            'GET',
            '/list',
            timeout=TIMEOUT_S,
            max_bytes=LISTING_MAX_BYTES,
        )
        found = decoding.decode('link', LINK_DECODER.decode, reply.body)
    except (http.Unreachable, decoding.Malformed):
        return 0
    return found.link_bytes
