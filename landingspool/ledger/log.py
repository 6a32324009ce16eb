"""Client of the platform's log service."""

import base64

from landingspool import http
from landingspool.ledger import outcomes

APPEND_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
PAGE_RECORDS = 500
# Bound of a page: a snapshot of the table, and edits of 16 KiB, in base64.
PAGE_MAX_BYTES = 16 * 1024 * 1024
# Bound of the answer to an append, which is an offset.
APPEND_MAX_BYTES = 64 * 1024
DECODE_ERRORS = (ValueError, KeyError, TypeError)


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
                return outcomes.Appended(int(reply.json()['offset']))
        except http.Unreachable as error:
            if not error.sent:
                return outcomes.Refused('unreachable')
            return outcomes.Lost(str(error))
        except DECODE_ERRORS as error:
            return outcomes.Lost(f'malformed response: {error!r}')
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
            return decode_page(reply.json())
        except http.Unreachable as error:
            return outcomes.Unavailable(str(error))
        except DECODE_ERRORS as error:
            return outcomes.Unavailable(f'malformed response: {error!r}')


def decode_page(value):
    """Decode the response to a read.

    >>> decode_page({'first': 0, 'next': 1, 'start': 0, 'records': ['YQ==']})
    Page(first=0, next=1, entries=((0, b'a'),))
    """
    start = int(value['start'])
    entries = tuple(
        (start + index, base64.b64decode(row))
        for index, row in enumerate(value['records'])
    )
    return outcomes.Page(int(value['first']), int(value['next']), entries)
