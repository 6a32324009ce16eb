"""What the processes of a world reach each other through.

It speaks the interfaces of `httpclient.Client`, `http_server.Exchange` and
`link.Links`, with latency and faults and without bytes.  A connection that
is cut waits for its healing, as TCP does; a message of a link is lost.
"""

import asyncio
import json

from landingspool.decisions import messages
from landingspool import http
from landingspool import httpclient


class Client:
    """Stands in for httpclient.Client in one process."""

    def __init__(self, world, owner):
        self.world = world
        self.owner = owner

    async def fetch(
        self,
        address,
        method,
        path,
        value=None,
        headers=(),
        timeout=5.0,
        fresh=False,
        max_bytes=httpclient.MAX_ANSWER_BYTES,
    ):
        """Send one request and wait for the whole answer."""
        call = self.open(address)
        try:
            async with asyncio.timeout(timeout):
                await call.send(method, path, value, headers)
                body = await call.read_body(max_bytes)
        except TimeoutError:
            raise http.Unreachable('no answer in time', call.sent) from None
        finally:
            call.close()
        return http.Response(call.status, call.headers, body)

    def open(self, address):
        """Give a call whose answer is read as it comes."""
        return Call(self.world, self.owner, http.Address(*address))

    def close(self):
        """Nothing is kept."""


class Call:
    """Stands in for httpclient.Call."""

    def __init__(self, world, owner, address):
        self.world = world
        self.owner = owner
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.sent = False
        self.status = 0
        self.headers = {}
        self.closed = False
        self.exchange = None
        self.server = None
        self._parts = asyncio.Queue()

    async def connect(self, fresh=False):
        """Connect, which needs both ways."""
        try:
            async with asyncio.timeout(httpclient.CONNECT_TIMEOUT_S):
                await self.world.travel(self.owner, self.address)
        except TimeoutError:
            raise http.Unreachable('connect: timeout', False) from None
        self.server = self.world.find(self.address)
        if self.server is None:
            raise http.Unreachable('nobody listens', False, refused=True)

    async def send(self, method, path, value=None, headers=()):
        """Send the request and wait for the head of the answer."""
        if self.server is None:
            await self.connect()
        self.sent = True
        bare, _, query = path.partition('?')
        pairs = [p.split('=', 1) for p in query.split('&') if '=' in p]
        body = httpclient.encode_body(value)
        named = {name.lower(): text for name, text in headers}
        request = http.Request(method, bare, dict(pairs), named, body)
        self.exchange = Exchange(self, request)
        self.world.exchanges.append(self.exchange)
        self.world.record_request(self.exchange)
        head = await self._next()
        self.status, self.headers = head

    async def read_body(self, max_bytes):
        """Return the whole body, of `max_bytes` bytes at most."""
        body = b''.join([part async for part in self.read()])
        if len(body) > max_bytes:
            raise http.Unreachable('a body that is too long', True)
        return body

    async def read(self):
        """Yield the parts of the body."""
        while True:
            part = await self._next()
            if part is None:
                return
            yield part

    async def read_events(self):
        """Yield the data of server-sent events."""
        async for part in self.read():
            yield part.removeprefix(b'data: ').removesuffix(b'\n\n').decode()

    def close(self):
        """Close the connection."""
        self.closed = True
        if self.exchange is not None:
            self.exchange.hang_up()

    def take(self, part):
        """Take a part that has arrived."""
        self._parts.put_nowait(part)

    async def _next(self):
        part = await self._parts.get()
        if isinstance(part, http.Unreachable):
            raise part
        return part


class Exchange:
    """Stands in for http_server.Exchange: the server's side of one call."""

    def __init__(self, call, request):
        self.call = call
        self.world = call.world
        self.request = request
        self.server = call.server
        self.client = call.owner
        self.started = False
        self.ended = False
        self.cut = False
        self.gone = None
        self.last = 0.0
        self.index = 0

    async def send_json(self, status, value, headers=()):
        """Send a whole JSON answer."""
        body = json.dumps(value).encode()
        await self.send_body(status, body, 'application/json', headers)

    async def send_body(self, status, body, kind, headers=()):
        """Send a whole answer."""
        self.started = True
        head = {'content-type': kind, **dict(headers)}
        self._post((status, head))
        self._post(body)
        await self.finish()

    async def start_stream(self, headers=()):
        """Start a stream."""
        self.started = True
        head = {'content-type': 'text/event-stream', **dict(headers)}
        self._post((200, head))

    async def send_event(self, value):
        """Send one event."""
        if self.ended or self.call.closed:
            raise OSError('the peer has gone')
        text = value if isinstance(value, str) else json.dumps(value)
        self.index += 1
        self.world.record_part(self, value)
        self._post(b'data: ' + text.encode() + b'\n\n')
        await asyncio.sleep(0)

    async def finish(self):
        """End the answer."""
        if self.ended:
            return
        self.world.record_answer(self)
        self._post(None)
        self.ended = True

    def abort(self):
        """Reset the connection."""
        self.reset('aborted')

    def reset(self, reason):
        """Let the client see a reset connection."""
        if not self.ended:
            self._post(http.Unreachable(reason, True))
            self.ended = True

    def hang_up(self):
        """Let the server see that the client closed."""
        if self.gone is not None and not self.gone.done():
            self.world.post_now(self.server, self._set_gone)

    async def wait_gone(self):
        """Wait until the client has closed."""
        self.gone = asyncio.get_running_loop().create_future()
        if self.call.closed:
            return
        await self.gone

    def _set_gone(self):
        if not self.gone.done():
            self.gone.set_result(None)

    def _post(self, part):
        if self.ended or self.cut:
            return
        delay = self.world.measure_delay(self.server, self.client)
        when = max(self.world.now + delay, self.last)
        self.last = when
        process = self.world.processes.get(self.client)
        if process is not None and when != float('inf'):
            process.loop.call_at(when, self.call.take, part)


class Links:
    """Stands in for link.Links in one process."""

    def __init__(self, world, owner, deliver):
        self.world = world
        self.owner = owner
        self.deliver = deliver

    def send(self, box, message):
        """Send a message, as it would be on the wire."""
        self.world.record_message(self.owner, box, message)

    def take(self, sender, message):
        """Take a message that has arrived, checked as from the wire."""
        array = json_like(messages.pack(message))
        checked, problem = messages.unpack(array)
        assert problem is None, problem
        self.deliver(sender, checked)


def json_like(value):
    """Give a value with lists for tuples, as codecs leave it."""
    if isinstance(value, (list, tuple)):
        return [json_like(item) for item in value]
    return value
