"""Connections to targets, one request at a time on each.

A connection is kept only when its answer was framed, whole, and followed
by nothing; it is used again only while the target surely still holds it.
"""

import asyncio
import collections
import socket
import typing

import h11

from landingspool.gateway import wire as wire_module
from landingspool import timeouts
from landingspool.platform import answers
from landingspool import boot_clock

# Seconds to come up: trips of some ms; a target that is gone says nothing,
# and a request has to be tried elsewhere within its aim (0.3 s and more).
CONNECT_S = 0.2
# A target that names no time may drop an idle connection within a second.
UNNAMED_IDLE_S = 0.4
# Seconds before a named time at which a connection is no longer used: the
# request has to arrive before the target's clock ends it.
IDLE_MARGIN_S = 0.5
# Seconds at rest after which a connection is not used for what must not be
# repeated: a target may forget one without a word, and what is sent on it
# then is lost with no way to tell whether it ran.  With 0.3 s two in three
# requests opened a connection; with 2 s four in ten, and no more failed (16
# days); with 4 s 0.36 of 100 more failed (15 days).
UNREPEATABLE_IDLE_S = 2.0
# A connection at rest is asked by the kernel whether its peer still answers:
# after so many seconds, again so many later, and given up after so many
# questions.  One that went silent for good is noticed within two seconds.
ALIVE_IDLE_S = 1
ALIVE_PERIOD_S = 1
ALIVE_QUESTIONS = 1
# Milliseconds after which the kernel gives up a connection on which what was
# sent is not acknowledged: an acknowledgement takes some ms, and comes after
# 0.2 and 0.6 s where one or two packets are lost.
UNACKNOWLEDGED_MS = 800
# Kept per target and box; a box has some ten requests at a target at once.
MOST_KEPT = 24
MOST_HEAD = 32 * 1024


class ExchangeError(Exception):
    """The exchange can't go on.

    `sent` tells if a byte may have gone out, `silent` if the path to the
    target is dead.
    """

    def __init__(self, text, sent, silent=False):
        super().__init__(text)
        self.sent = sent
        self.silent = silent


class Idle(typing.NamedTuple):
    """A connection at rest since `since`, to be used until `until`."""

    wire: wire_module.Wire
    since: float
    until: float


class Upstream:
    """Opens exchanges and keeps idle connections.

    Parameters
    ----------
    metrics
        Counts new connections; anything with ``connections.inc()``.
    """

    def __init__(self, metrics, clock=boot_clock.read):
        self._metrics = metrics
        self._clock = clock
        self._idle = collections.defaultdict(collections.deque)

    async def open(self, address, repeatable, most_kept=MOST_KEPT):
        """Give an Exchange on a kept or new connection.

        Parameters
        ----------
        repeatable : bool
            Whether the request may be sent again where it is lost.
        most_kept : int
            Connections to the target that may be kept at rest.

        Raises
        ------
        ExchangeError
            With `sent` false.
        """
        wire = self._take(address, repeatable)
        if wire is None:
            wire = await self._connect(address)
        return Exchange(self, address, wire, most_kept)

    async def probe(self, address, most_kept):
        """Open a connection to see whether it comes up, and keep it.

        Raises
        ------
        ExchangeError
            Where it does not.
        """
        wire = await self._connect(address)
        self.keep(address, wire, UNNAMED_IDLE_S, most_kept)

    def keep(self, address, wire, idle_s, most_kept):
        """Keep a connection that may be used for `idle_s` seconds."""
        idle = self._idle[address]
        if idle_s <= 0 or len(idle) >= min(most_kept, MOST_KEPT):
            wire.close()
            return
        now = self._clock()
        idle.append(Idle(wire, now, now + idle_s))

    def drop(self, address):
        """Close what is kept to an address."""
        for idle in self._idle.pop(address, ()):
            idle.wire.close()

    def sweep(self):
        """Close the kept connections whose time is over."""
        now = self._clock()
        for address, idle in list(self._idle.items()):
            live = [
                row for row in idle if row.until > now and row.wire.is_quiet
            ]
            for row in idle:
                if row not in live:
                    row.wire.close()
            if live:
                self._idle[address] = collections.deque(live)
            else:
                del self._idle[address]

    def close(self):
        """Close all kept connections."""
        for address in list(self._idle):
            self.drop(address)

    def list_ready(self, repeatable):
        """List the addresses to which a connection at rest may be used.

        Parameters
        ----------
        repeatable : bool
            Whether the request may be sent again where it is lost.

        Returns
        -------
        frozenset of tuple
        """
        now = self._clock()
        return frozenset(
            address
            for address, idle in self._idle.items()
            if idle and is_usable(idle[-1], repeatable, now)
        )

    async def _connect(self, address):
        """Give a new connection.

        Raises
        ------
        ExchangeError
            With `sent` false, where none comes up in time.
        """
        loop = asyncio.get_running_loop()
        try:
            async with timeouts.Timeout(CONNECT_S):
                transport, wire = await loop.create_connection(
                    wire_module.Wire, *address
                )
        except (OSError, TimeoutError) as error:
            raise ExchangeError(f'connect: {error!r}', False) from error
        watch_peer(transport.get_extra_info('socket'))
        self._metrics.connections.inc()
        return wire

    def _take(self, address, repeatable):
        idle = self._idle.get(address)
        while idle:
            # The newest first: the others can run out and be closed.
            row = idle[-1]
            now = self._clock()
            if is_usable(row, repeatable, now):
                idle.pop()
                return row.wire
            if now < row.until and row.wire.is_quiet:
                return None
            idle.pop()
            row.wire.close()
        return None


def is_usable(row, repeatable, now):
    """Tell whether a connection at rest may be used for a request.

    Parameters
    ----------
    row : Idle
    repeatable : bool
        Whether the request may be sent again where it is lost.
    """
    if now >= row.until or not row.wire.is_quiet:
        return False
    return repeatable or now - row.since <= UNREPEATABLE_IDLE_S


def watch_peer(sock):
    """Let the kernel find out when the other side of a connection is gone.

    Without, a cut path costs each request on it its whole patience.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, ALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, ALIVE_PERIOD_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, ALIVE_QUESTIONS)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


class Exchange:
    """One request to a target and its answer."""

    def __init__(self, upstream, address, wire, most_kept):
        self._upstream = upstream
        self._most_kept = most_kept
        self._address = address
        self._wire = wire
        self._conn = h11.Connection(h11.CLIENT, MOST_HEAD)
        self._head = None
        self._early = False

    def send(self, method, target, headers, body):
        """Send a whole request; nothing can be proved from here on."""
        conn = self._conn
        head = h11.Request(method=method, target=target, headers=headers)
        data = conn.send(head) + conn.send(h11.Data(data=body))
        self._wire.write(data + conn.send(h11.EndOfMessage()))

    async def read_head(self):
        """Read the head of the answer.

        Returns
        -------
        answers.Head

        Raises
        ------
        ExchangeError
        """
        event = await self._next()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next()
        if not isinstance(event, h11.Response):
            raise ExchangeError('closed before an answer', True)
        # An answer before the request has left: the rest of the body is
        # still due on this connection, so nothing else may follow on it.
        self._early = not self._wire.is_flushed
        self._head = answers.read_head(event.status_code, list(event.headers))
        return self._head

    async def read_data(self):
        """Read on in the body; b'' at its whole end.

        Raises
        ------
        ExchangeError
        """
        event = await self._next()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise ExchangeError('the answer was cut off', True)

    @property
    def is_ended(self):
        """Whether the target has closed or reset the connection."""
        return self._wire.ended

    def release(self):
        """Keep the connection if it is fit for another request."""
        conn, head = self._conn, self._head
        framed = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        clean = framed and not conn.trailing_data[0] and self._wire.is_quiet
        if not clean or self._early or head.closing:
            self._wire.close()
            return
        named = head.kept_s
        idle_s = UNNAMED_IDLE_S if named is None else named - IDLE_MARGIN_S
        self._upstream.keep(self._address, self._wire, idle_s, self._most_kept)

    def abort(self):
        """Drop the connection; the target stops working on the request."""
        self._wire.abort()

    async def _next(self):
        try:
            while True:
                event = self._conn.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._conn.receive_data(await self._wire.read())
        except (OSError, h11.ProtocolError) as error:
            silent = isinstance(error, wire_module.PeerSilent)
            raise ExchangeError(repr(error), True, silent) from error
