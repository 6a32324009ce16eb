"""Client of the platform's log service."""

import base64

import msgspec

from landingspool.decisions import decoding
from landingspool import http
from landingspool.ledger import outcomes

APPEND_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
PAGE_RECORDS = 500
# Bound of a page: a snapshot of the table, and edits of 16 KiB, in base64.
PAGE_MAX_BYTES = 16 * 1024 * 1024
# Bound of the answer to an append, which is an offset.
APPEND_MAX_BYTES = 64 * 1024


class AppendedRecord(msgspec.Struct):
    """Response to an append."""

    offset: decoding.Count


class PageRecord(msgspec.Struct):
    """Response to a read; the records are written in base64."""

    first: decoding.Count
    next: decoding.Count
    start: decoding.Count
    records: list[bytes]


APPENDED_DECODER = msgspec.json.Decoder(AppendedRecord)
PAGE_DECODER = msgspec.json.Decoder(PageRecord)


class Log:
    """Appends to and reads from streams of the log.

    Parameters
    ----------
    client : httpclient.Client
    address : http.Address
    """

    def __init__(self, client, address):
        self._client = client
        self._address = address

    async def append(self, stream, data):
        """Append one record.

        Returns
        -------
        outcomes.Appended, outcomes.Refused or outcomes.Lost
        """
        value = {'stream': stream, 'data': base64.b64encode(data).decode()}
        try:
            reply = await self._client.fetch(
                self._address,
                'POST',
                '/append',
                value,
                timeout=APPEND_TIMEOUT_S,
                max_bytes=APPEND_MAX_BYTES,
            )
            if reply.status == 200:
                record = decoding.decode(
                    'append', APPENDED_DECODER.decode, reply.body
                )
                return outcomes.Appended(record.offset)
        except http.Unreachable as error:
            if not error.sent:
                return outcomes.Refused('unreachable')
            return outcomes.Lost(str(error))
        except decoding.Malformed as error:
            return outcomes.Lost(f'malformed response: {error}')
        if reply.status >= 500:
            return outcomes.Lost(f'status {reply.status}')
        return outcomes.Refused(f'status {reply.status}')

    async def read(self, stream, after):
        """Read a page of the records after an offset.

        Returns
        -------
        outcomes.Page or outcomes.Unavailable
        """
        path = f'/read?stream={stream}&after={after}&most={PAGE_RECORDS}'
        try:
            reply = await self._client.fetch(
                self._address,
                'GET',
                path,
                timeout=READ_TIMEOUT_S,
                max_bytes=PAGE_MAX_BYTES,
            )
            if reply.status != 200:
                return outcomes.Unavailable(f'status {reply.status}')
            return decoding.decode('page', decode_page, reply.body)
        except http.Unreachable as error:
            return outcomes.Unavailable(str(error))
        except decoding.Malformed as error:
            return outcomes.Unavailable(f'malformed response: {error}')


def decode_page(value):
    """Decode the response to a read.

    >>> decode_page(
    ...     b'{"first": 0, "next": 1, "start": 0, "records": ["YQ=="]}'
    ... )
    Page(first=0, next=1, entries=((0, b'a'),))

    Raises
    ------
    ValueError, RecursionError
    """
    page = PAGE_DECODER.decode(value)
    entries = tuple(enumerate(page.records, page.start))
    return outcomes.Page(page.first, page.next, entries)
