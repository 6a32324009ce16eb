"""Client of the platform's list of live and leaving members.

Members are boxes, targets and stores.  The list lags behind their state.
"""

import typing

import msgspec

from landingspool.decisions import decoding
from landingspool.decisions import records
from landingspool import http
from landingspool.ledger import outcomes

TIMEOUT_S = 2.0
# Bound of the list: 10,000 members of 400 bytes.
MAX_BYTES = 4 * 1024 * 1024


# A name or an IP number that can be looked up.
Host = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[0-9A-Za-z_:-]{1,63}(\.[0-9A-Za-z_-]{1,63})*\.?$',
        max_length=253,
    ),
]


class Row(msgspec.Struct):
    """One member as the platform lists it; unknown fields are ignored."""

    name: str
    kind: str
    domain: str
    host: Host
    port: decoding.Port
    model: str = ''
    incarnation: str = ''
    leaving: bool = False
    checks_fences: bool = True
    operators_port: typing.Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0


class Listing(msgspec.Struct):
    """Response to a read of the list; the rows are decoded one by one."""

    members: list[typing.Any]


LISTING_DECODER = msgspec.json.Decoder(Listing)


class LiveList:
    """Reads the live list.

    Parameters
    ----------
    client : httpclient.Client
    address : http.Address
    on_malformed : callable, optional
        ``on_malformed(reason)`` for a list or a row that can't be decoded,
        unless it was told at the last read.
    """

    def __init__(self, client, address, on_malformed=None):
        self._client = client
        self._address = address
        self._on_malformed = on_malformed
        self._told = frozenset()
        # The newest response, and what was found in it.
        self._body = None
        self._found = None

    async def read(self):
        """Read the list.

        Rows that can't be decoded are passed over, unless all are such.

        Returns
        -------
        tuple of records.Member, or outcomes.Unavailable
        """
        try:
            reply = await self._client.fetch(
                self._address,
                'GET',
                '/live',
                timeout=TIMEOUT_S,
                max_bytes=MAX_BYTES,
            )
        except http.Unreachable as error:
            return outcomes.Unavailable(str(error))
        if reply.body != self._body:
            self._body, self._found = reply.body, self._decode(reply.body)
        return self._found

    def _decode(self, body):
        try:
            members, odd = read_members(body)
        except decoding.Malformed as error:
            members, odd = (), [str(error)]
        self._tell(odd)
        if odd and not members:
            return outcomes.Unavailable(odd[0])
        return members

    def _tell(self, reasons):
        if self._on_malformed is not None:
            for reason in reasons:
                if reason not in self._told:
                    self._on_malformed(reason)
        self._told = frozenset(reasons)


def read_members(value):
    """Decode the list.

    Returns
    -------
    tuple of (tuple of records.Member, list of str)
        The members, and why each of the other rows can't be decoded.

    Raises
    ------
    decoding.Malformed
    """
    listing = decoding.decode('live list', read_listing, value)
    members, odd = [], []
    for number, row in enumerate(listing.members):
        try:
            found = decoding.decode(f'live list, row {number}', read_row, row)
            members.append(found)
        except decoding.Malformed as error:
            odd.append(str(error))
    return tuple(members), odd


def read_listing(value):
    """Decode the list without its rows.

    Raises
    ------
    ValueError, RecursionError
    """
    try:
        return LISTING_DECODER.decode(value)
    except RecursionError:
        return LISTING_DECODER.decode(decoding.cut_nesting(value))


def read_row(value):
    """Return the records.Member in a row of the list.

    Raises
    ------
    ValueError
    """
    row = msgspec.convert(value, Row)
    return records.Member(**msgspec.structs.asdict(row))
