"""Client of store boxes: their listing, and frees."""

import typing

import msgspec

from landingspool.decisions import kv_offload
from landingspool.decisions import records
from landingspool import http

TIMEOUT_S = 2.0


class Meta(msgspec.Struct):
    """What was written with a block."""

    key: str
    pool: str
    workspace: str
    cost_s: float
    depth: int


class Row(msgspec.Struct):
    """One write of a listing."""

    write: str
    length: int
    checksum: str
    sealed: bool
    age: float
    meta: Meta


class Listing(msgspec.Struct):
    """The answer to a read of the listing."""

    writes: list[Row]
    room: int
    link_bytes: int


class Contents(typing.NamedTuple):
    """What a store holds, its room and the bytes over its link."""

    rows: list
    room: int
    link_bytes: int


async def fetch_listing(client, member):
    """Read what a store holds.

    Returns
    -------
    Contents or None
        Rows are pairs of a pool's name and a kv_offload.Listed.
    """
    address = http.Address(member.host, member.port)
    try:
        reply = await client.fetch(address, 'GET', '/list', timeout=TIMEOUT_S)
        listing = msgspec.json.decode(reply.body, type=Listing)
    except (http.Unreachable, msgspec.DecodeError, msgspec.ValidationError):
        return None
    rows = [make_row(member.name, row) for row in listing.writes]
    return Contents(rows, listing.room, listing.link_bytes)


def make_row(store, row):
    """Give the pool and the record of one write."""
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
    """Free a write; returns whether the store took it."""
    address = http.Address(member.host, member.port)
    try:
        reply = await client.fetch(
            address, 'POST', '/free', {'write': write}, timeout=TIMEOUT_S
        )
    except http.Unreachable:
        return False
    return reply.status == 200


async def fetch_link_use(client, address):
    """Give the bytes that went over a store's link, or 0."""
    try:
        reply = await client.fetch(address, 'GET', '/list', timeout=TIMEOUT_S)
    except http.Unreachable:
        return 0
    return int(reply.json()['link_bytes'])
