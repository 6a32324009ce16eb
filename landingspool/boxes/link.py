"""Links between boxes: websockets that carry messages in CBOR.

A link is opened when there is a message to send and closed when idle, so a
box holds links only to the peers that it exchanges messages with.  Each
direction has its own link and its own bounded queue.  When a queue is full,
messages that are repeated anyway (probes, summaries, loans) are dropped
first.  If only vital messages (asks, grants, slots) are queued, the link is
closed in place of losing one unnoticed, since the senders then ask again.
"""

import asyncio
import collections
import secrets
import typing

import cbor2
import msgspec
import websockets
from websockets.asyncio import client as ws_client
from websockets.asyncio import server as ws_server

from landingspool.boxes import handshake
from landingspool.decisions import clock
from landingspool.decisions import decoding
from landingspool.decisions import messages
from landingspool import supervisor as supervisor_module
from landingspool import timeouts

MAX_FRAME_BYTES = 4 * 1024 * 1024
# Bound of a frame of the handshake.
MAX_HELLO_BYTES = 16 * 1024
# Frames of one link that are received before they are handled.
MAX_WAITING_FRAMES = 4
HANDSHAKE_S = 2.0
IDLE_S = 60.0
RECONNECT_DELAY_S = 0.25
MAX_BATCH_MESSAGES = 64
# What handling a frame raises that is no message of a box.
BAD_FRAME_ERRORS = (handshake.Refused, decoding.Malformed)


class Identity(typing.NamedTuple):
    """Identity that this box presents to its peers."""

    box: str
    domain: str
    incarnation: str
    secret: str


class Links:
    """Incoming and outgoing links of one box.

    Parameters
    ----------
    identity : Identity
    find_address : callable
        ``find_address(box)`` returns the Address on which a box accepts
        links, or None.
    deliver : callable
        ``deliver(sender, message)`` is called for each received message.
    recorder : events.Recorder
    metrics : metrics.Metrics
    limit : int
        Maximum number of messages queued for one peer.
    supervisor : supervisor.Supervisor, optional
        That of the box; otherwise the links have one of their own.
    """

    def __init__(
        self,
        identity,
        find_address,
        deliver,
        recorder,
        metrics,
        limit,
        supervisor=None,
    ):
        self._identity = identity
        self._find_address = find_address
        self._deliver = deliver
        self._recorder = recorder
        self._metrics = metrics
        self._limit = limit
        self._supervisor = supervisor or supervisor_module.Supervisor(
            recorder, metrics.task_failures
        )
        self._out = {}
        self._server = None

    async def start(self, host, port):
        """Start listening; returns the host and port in use."""
        self._server = await ws_server.serve(
            self._accept,
            host,
            port,
            compression=None,
            max_size=MAX_FRAME_BYTES,
            max_queue=MAX_WAITING_FRAMES,
            open_timeout=HANDSHAKE_S,
            close_timeout=HANDSHAKE_S,
            ping_interval=None,
        )
        return self._server.sockets[0].getsockname()[:2]

    async def close(self):
        """Close all links."""
        for outbound in self._out.values():
            outbound.stop()
        if self._server is not None:
            self._server.close()

    def send(self, box, message):
        """Queue a message for a box without waiting."""
        outbound = self._out.get(box)
        if outbound is None or outbound.ended:
            outbound = Outbound(box, self._limit)
            self._out[box] = outbound
            outbound.task = self._supervisor.spawn('link', self._run(outbound))
        dropped = outbound.put(message)
        if dropped is not None:
            name = type(dropped).__name__
            self._metrics.link_dropped.labels(name).inc()
            self._recorder.record('dropped', peer=box, message=name)

    async def _run(self, outbound):
        try:
            await self._connect(outbound)
        except (OSError, TimeoutError, websockets.WebSocketException):
            pass
        except BAD_FRAME_ERRORS as error:
            self._recorder.record(
                'link_refused', peer=outbound.box, reason=str(error)
            )
        finally:
            # Queued messages are lost with the link; senders that wait for
            # an answer ask again.  The short delay bounds the cost of
            # reconnecting to a dead peer.
            await asyncio.sleep(RECONNECT_DELAY_S)
            outbound.ended = True

    async def _connect(self, outbound):
        address = self._find_address(outbound.box)
        if address is None:
            return
        uri = f'ws://{address.host}:{address.port}'
        async with ws_client.connect(
            uri,
            compression=None,
            # The peer sends nothing but its part of the handshake.
            max_size=MAX_HELLO_BYTES,
            max_queue=MAX_WAITING_FRAMES,
            open_timeout=HANDSHAKE_S,
            ping_interval=None,
            close_timeout=HANDSHAKE_S,
            proxy=None,
        ) as socket:
            try:
                async with timeouts.Timeout(HANDSHAKE_S):
                    await self._authenticate_to_peer(socket)
            except (TimeoutError, *BAD_FRAME_ERRORS):
                # A closing handshake would read on.
                socket.transport.abort()
                raise
            while not outbound.stopped:
                batch = await outbound.take()
                if not batch:
                    return
                await socket.send(self._encode(batch))

    async def _authenticate_to_peer(self, socket):
        peer_nonce = read_frame(await socket.recv())
        nonce = secrets.token_bytes(16)
        await socket.send(cbor2.dumps(self._hello(peer_nonce, nonce)))
        reply = read_frame(await socket.recv())
        handshake.read_hello(reply, self._identity.secret, nonce)

    async def _accept(self, socket):
        peer = None
        try:
            async with timeouts.Timeout(HANDSHAKE_S):
                peer = await self._authenticate_peer(socket)
            async for frame in socket:
                self._receive(peer, frame)
        except websockets.WebSocketException:
            pass
        except TimeoutError:
            self._refuse(socket, peer, 'no hello in time')
        except BAD_FRAME_ERRORS as error:
            self._refuse(socket, peer, str(error))
        except Exception as error:
            self._supervisor.report('link', error)
            socket.transport.abort()

    def _refuse(self, socket, peer, reason):
        """Abort a link; a closing handshake would read on."""
        name = peer.box if peer else '-'
        self._recorder.record('link_refused', peer=name, reason=reason)
        socket.transport.abort()

    async def _authenticate_peer(self, socket):
        nonce = secrets.token_bytes(16)
        await socket.send(cbor2.dumps(nonce))
        value = read_frame(await socket.recv())
        hello = handshake.read_hello(value, self._identity.secret, nonce)
        reply = self._hello(hello.nonce, b'')
        await socket.send(cbor2.dumps(reply))
        return hello

    def _hello(self, peer_nonce, nonce):
        if not isinstance(peer_nonce, bytes):
            raise handshake.Refused('bad nonce')
        own = self._identity
        proof = handshake.compute_proof(own.secret, peer_nonce, own.box)
        version = handshake.VERSION
        hello = (version, own.box, own.domain, own.incarnation, nonce, proof)
        return list(hello)

    def _encode(self, batch):
        rows = []
        for message in batch:
            row = cbor2.dumps(messages.pack(message))
            name = type(message).__name__
            self._metrics.link_bytes.labels(name, 'out').inc(len(row))
            rows.append(row)
        return cbor2.dumps([list(self._recorder.stamp), rows])

    def _receive(self, peer, frame):
        stamp, rows = decoding.decode('frame', read_batch, frame)
        self._recorder.observe(stamp)
        for row in rows:
            message, problem = messages.unpack(read_frame(row))
            if problem is not None:
                self._recorder.record(
                    'bad_message', peer=peer.box, reason=problem.text
                )
                continue
            name = type(message).__name__
            self._metrics.link_bytes.labels(name, 'in').inc(len(row))
            self._supervisor.guard(
                'messages', self._deliver, peer.box, message
            )


def read_frame(data):
    """Decode what a peer has written.

    Raises
    ------
    decoding.Malformed
    """
    return decoding.decode('frame', cbor2.loads, data)


def read_batch(data):
    """Decode a frame of messages, each of which is encoded by itself.

    Returns
    -------
    tuple of (clock.Stamp, list of bytes)

    Raises
    ------
    ValueError, TypeError, cbor2.CBORError
    """
    stamp, rows = cbor2.loads(data)
    rows = msgspec.convert(rows, list[bytes])
    return msgspec.convert(stamp, clock.Stamp), rows


class Outbound:
    """Send queue of the link to one peer."""

    def __init__(self, box, limit):
        self.box = box
        self.ended = False
        self.stopped = False
        self.task = None
        self._limit = limit
        self._messages = collections.deque()
        self._ready = asyncio.Event()

    def put(self, message):
        """Queue a message; returns the message that was dropped, or None."""
        self._messages.append(message)
        self._ready.set()
        if len(self._messages) <= self._limit:
            return None
        for index, row in enumerate(self._messages):
            if not row.VITAL:
                del self._messages[index]
                return row
        # Only vital messages are queued: the peer is too slow to work with.
        # The link closes, and senders that wait ask another box.
        self.stop()
        return message

    async def take(self):
        """Wait for a batch; empty if the link is idle or stopped."""
        try:
            async with asyncio.timeout(IDLE_S):
                await self._ready.wait()
        except TimeoutError:
            if not self._messages:
                # The next message opens another link.
                self.ended = True
                return []
        if self.stopped:
            return []
        count = min(MAX_BATCH_MESSAGES, len(self._messages))
        batch = [self._messages.popleft() for _ in range(count)]
        if not self._messages:
            self._ready.clear()
        return batch

    def stop(self):
        """Stop the link after the batch being sent."""
        self.stopped = True
        self._ready.set()
