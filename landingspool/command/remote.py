"""Speaks to the operators' side of the boxes, for the tool."""

import asyncio
import typing

from landingspool import http
from landingspool import httpclient

TIMEOUT_S = 15.0
STATUS_TIMEOUT_S = 2.0


class Failure(Exception):
    """A box could not be asked, or refused; holds a text for people."""


class Reached(typing.NamedTuple):
    """The status of one box, or why there is none."""

    name: str
    domain: str
    status: dict | None
    problem: str


def parse_boxes(text):
    """Read addresses from ``host:port,host:port``.

    >>> parse_boxes('127.0.0.1:80')
    [Address(host='127.0.0.1', port=80)]
    """
    addresses = []
    for part in text.split(','):
        host, colon, port = part.strip().rpartition(':')
        if not colon or not port.isdigit():
            raise Failure(f'{part!r}: expected HOST:PORT')
        addresses.append(http.Address(host, int(port)))
    return addresses


class Remote:
    """The boxes that a call of the tool works with.

    Parameters
    ----------
    addresses : list of http.Address
        Operators' side of one box or more; the first that answers serves.
    key : str
    """

    def __init__(self, addresses, key):
        self._addresses = addresses
        self._headers = [('authorization', f'Bearer {key}')]
        self._client = httpclient.Client()

    async def ask(self, method, path, value=None):
        """Ask the first box that answers; returns the decoded answer."""
        problems = []
        for address in self._addresses:
            try:
                return await self.ask_at(address, method, path, value)
            except http.Unreachable as error:
                problems.append(f'{address.host}:{address.port}: {error}')
                if error.sent and method != 'GET':
                    break
        raise Failure('no box answered: ' + '; '.join(problems))

    async def ask_at(self, address, method, path, value=None, seconds=None):
        """Ask one box; raises Failure where it refuses."""
        reply = await self._client.fetch(
            address,
            method,
            path,
            value,
            self._headers,
            timeout=seconds or TIMEOUT_S,
        )
        try:
            decoded = reply.json()
        except ValueError:
            raise Failure(f'{path}: the answer is not JSON') from None
        if reply.status != 200:
            raise Failure(f'{path}: status {reply.status}: {decoded}')
        return decoded

    async def list_boxes(self):
        """List the boxes that the first one knows, as dicts."""
        status = await self.ask('GET', '/admin/status')
        return status['boxes']

    async def ask_all(self, path):
        """Ask all boxes; returns a list of Reached."""
        boxes = await self.list_boxes()
        calls = [self._reach(box, path) for box in boxes]
        return await asyncio.gather(*calls)

    async def _reach(self, box, path):
        address = http.Address(box['host'], box['operators_port'])
        try:
            status = await self.ask_at(
                address, 'GET', path, seconds=STATUS_TIMEOUT_S
            )
            return Reached(box['name'], box['domain'], status, '')
        except (http.Unreachable, Failure) as error:
            return Reached(box['name'], box['domain'], None, str(error))
