"""Client of the operators' HTTP interface of boxes, for the tool."""

import asyncio
import json
import typing

from landingspool.decisions import decoding
from landingspool import http
from landingspool import httpclient

TIMEOUT_S = 15.0
STATUS_TIMEOUT_S = 2.0
# Bound of what a box answers, such as all tables.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class RemoteError(Exception):
    """A call to a box failed or was refused; the message is for operators."""


class BoxReply(typing.NamedTuple):
    """The answer of one box, or the reason why there is none."""

    name: str
    domain: str
    status: dict | None
    problem: str


def parse_boxes(text):
    """Parse addresses of the form ``host:port,host:port``.

    >>> parse_boxes('127.0.0.1:80')
    [Address(host='127.0.0.1', port=80)]
    """
    addresses = []
    for part in text.split(','):
        host, colon, port = part.strip().rpartition(':')
        if not colon or not port.isdigit():
            raise RemoteError(f'{part!r}: expected HOST:PORT')
        addresses.append(http.Address(host, int(port)))
    return addresses


class FleetClient:
    """Calls the boxes of a fleet.

    Parameters
    ----------
    addresses : list of http.Address
        Operators' addresses of one or more boxes.  `call` uses the first
        box that answers.
    key : str
        Bearer key of the operators.
    """

    def __init__(self, addresses, key):
        self._addresses = addresses
        self._headers = [('authorization', f'Bearer {key}')]
        self._client = httpclient.Client()

    async def call(self, method, path, value=None):
        """Call the first box that answers; returns the decoded answer."""
        problems = []
        for address in self._addresses:
            try:
                return await self.call_box(address, method, path, value)
            except http.Unreachable as error:
                problems.append(f'{address.host}:{address.port}: {error}')
                if error.sent and method != 'GET':
                    break
        raise RemoteError('no box answered: ' + '; '.join(problems))

    async def call_box(self, address, method, path, value=None, seconds=None):
        """Call one box; raises RemoteError if its status is not 200."""
        reply = await self._client.fetch(
            address,
            method,
            path,
            value,
            self._headers,
            timeout=seconds or TIMEOUT_S,
            max_bytes=MAX_ANSWER_BYTES,
        )
        try:
            decoded = decoding.decode(path, json.loads, reply.body)
        except decoding.Malformed:
            raise RemoteError(f'{path}: response body is not JSON') from None
        if reply.status != 200:
            raise RemoteError(f'{path}: status {reply.status}: {decoded}')
        return decoded

    async def list_boxes(self):
        """List the boxes that the first box to answer knows, as dicts."""
        status = await self.call('GET', '/admin/status')
        return status['boxes']

    async def call_all(self, path):
        """Call all boxes; returns a list of BoxReply."""
        boxes = await self.list_boxes()
        calls = [self._get_reply(box, path) for box in boxes]
        return await asyncio.gather(*calls)

    async def _get_reply(self, box, path):
        address = http.Address(box['host'], box['operators_port'])
        try:
            status = await self.call_box(
                address, 'GET', path, seconds=STATUS_TIMEOUT_S
            )
            return BoxReply(box['name'], box['domain'], status, '')
        except (http.Unreachable, RemoteError) as error:
            return BoxReply(box['name'], box['domain'], None, str(error))
