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


class Row(msgspec.Struct):
    """One member as the platform lists it; unknown fields are ignored."""

    name: str
    kind: str
    domain: str
    host: str
    port: decoding.Port
    model: str = ''
    incarnation: str = ''
    leaving: bool = False
    checks_fences: bool = True
    operators_port: typing.Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0


class Listing(msgspec.Struct):
    """Response to a read of the list."""

    members: list[Row]


class LiveList:
    """Reads the live list.

    Parameters
    ----------
    client : httpclient.Client
    address : http.Address
    """

    def __init__(self, client, address):
        self._client = client
        self._address = address

    async def read(self):
        """Read the list.

        Returns
        -------
        list of records.Member, or outcomes.Unavailable
        """
        try:
            reply = await self._client.fetch(
                self._address,
                'GET',
                '/live',
                timeout=TIMEOUT_S,
                max_bytes=MAX_BYTES,
            )
            return decoding.decode('live list', read_members, reply.body)
        except (http.Unreachable, decoding.Malformed) as error:
            return outcomes.Unavailable(str(error))


LISTING_DECODER = msgspec.json.Decoder(Listing)


def read_members(value):
    """Return the list of records.Member in a response.

    Raises
    ------
    ValueError, RecursionError
    """
    listing = LISTING_DECODER.decode(value)
    return [make_member(row) for row in listing.members]


def make_member(row):
    """Return the records.Member of a row of the list."""
    values = msgspec.structs.asdict(row)
    return records.Member(**values)
