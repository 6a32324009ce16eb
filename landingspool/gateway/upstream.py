"""Pool of HTTP/1.1 connections to targets, one request at a time on each.

A connection returns to the pool only if its answer was framed, complete and
followed by no further bytes.  It is used again only for as long as the
target keeps idle connections open.
"""

import asyncio
import collections
import enum
import functools
import socket
import typing

import h11

from landingspool import boot_clock
from landingspool import connection as connection_module
from landingspool.gateway import answer_reader
from landingspool import keep_alive
from landingspool import response_reader
from landingspool import timeouts

# Time-out for a new connection.  A round trip takes some ms.  A target that
# is gone doesn't answer at all, and another one has to be tried within the
# latency objective of the request (0.3 s and more).
CONNECT_TIMEOUT_S = 0.2
# Idle time of connections to a target that sends no Keep-Alive time-out: it
# may close them within a second.
DEFAULT_IDLE_S = 0.4
# Idle time after which a connection isn't used for requests that must not be
# repeated.  A target may drop a connection without closing it; a request
# sent on it is then lost, and nobody can tell whether it was executed.  With
# 0.3 s two in three requests open a connection, with 2 s four in ten; with 4 s
# the share of failed requests rises by 0.36 percentage points.
MAX_UNREPEATABLE_IDLE_S = 2.0
# TCP keep-alive: idle seconds before the first probe, and seconds between
# probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
# Unanswered probes after which the kernel drops an idle connection: a peer
# that is gone is noticed within two seconds.
KEEPALIVE_PROBES = 1
# The same with a request on it, the most that Linux takes: beyond all
# deadlines, since a sound target may fall silent for some time.  The probes
# still find a peer that has restarted, which resets the connection.
BUSY_KEEPALIVE_PROBES = 127
# Seconds to parse bytes that have arrived.
POLL_S = 0.005
# Idle connections per target and box; a box has about ten concurrent requests
# at a target.
MAX_IDLE_CONNECTIONS = 24


class ExchangeError(Exception):
    """A connection or an exchange with a target failed.

    Parameters
    ----------
    text : str
    sent : bool
        Whether a byte of the request may have been sent.
    silent : bool
        Whether the path to the target is dead: its host answers nothing.
    refused : bool
        Whether its host refuses connections: nothing listens there.
    """

    def __init__(self, text, sent, silent=False, refused=False):
        super().__init__(text)
        self.sent = sent
        self.silent = silent
        self.refused = refused


class Sign(enum.IntEnum):
    """What a target has shown since the last read; only NOTHING is false.

    SUCCESS is an answer of status 2xx.  Any other answer, and an exchange that
    has broken off, are a FAILURE.
    """

    NOTHING = 0
    SUCCESS = 1
    FAILURE = 2


class IdleConnection(typing.NamedTuple):
    """A connection, idle since `since`, that may be used until `until`."""

    connection: connection_module.Connection
    since: float
    until: float


class Upstream:
    """Opens exchanges with targets and pools their idle connections.

    Parameters
    ----------
    metrics
        Counts new connections; anything with ``connections.inc()``.
    clock : callable, optional
        Returns the boot-time clock, seconds.
    buffers : buffers.Buffers, optional
        Counts the bytes that connections hold.
    """

    def __init__(self, metrics, clock=boot_clock.read, buffers=None):
        self._metrics = metrics
        self._make_connection = functools.partial(
            connection_module.Connection, buffers=buffers
        )
        self._clock = clock
        self._idle = collections.defaultdict(collections.deque)

    async def open(
        self,
        address,
        repeatable,
        max_idle=MAX_IDLE_CONNECTIONS,
        used=(),
        fresh=False,
    ):
        """Return an Exchange on a pooled or a new connection.

        Parameters
        ----------
        address : tuple
            Host and port of the target.
        repeatable : bool
            Whether the request may be sent again if it is lost.
        used : collection of connection.Connection
            Connections on which the request was sent before: an answer that
            comes there once more would have its id.
        max_idle : int
            Idle connections to the target that may be kept.
        fresh : bool
            Whether to use a new connection.

        Raises
        ------
        ExchangeError
            With `sent` false.
        """
        idle = None
        if not fresh:
            idle = self._take_idle(address, repeatable, used)
        if idle is not None:
            return Exchange(self, address, idle.connection, max_idle, idle)
        connection = await self._connect(address)
        return Exchange(self, address, connection, max_idle)

    async def probe(self, address, max_idle):
        """Check that a target accepts connections; keep the one opened.

        Raises
        ------
        ExchangeError
            If the connection can't be opened.
        """
        connection = await self._connect(address)
        self.keep(address, connection, DEFAULT_IDLE_S, max_idle)

    def keep(self, address, connection, idle_s, max_idle):
        """Return a connection to the pool for `idle_s` seconds at most."""
        now = self._clock()
        row = IdleConnection(connection, now, now + idle_s)
        self.put_back(address, row, max_idle)

    def put_back(self, address, row, max_idle):
        """Return a row to the pool.

        Parameters
        ----------
        row : IdleConnection
        """
        idle = self._idle[address]
        is_full = len(idle) >= min(max_idle, MAX_IDLE_CONNECTIONS)
        if is_full or row.until <= row.since or not row.connection.is_idle:
            row.connection.close()
            return
        set_keepalive_probes(row.connection, KEEPALIVE_PROBES)
        idle.append(row)

    def drop(self, address):
        """Close the idle connections to an address."""
        for idle in self._idle.pop(address, ()):
            idle.connection.close()

    def sweep(self):
        """Close the idle connections that have expired or are unusable."""
        now = self._clock()
        for address, idle in list(self._idle.items()):
            live = [
                row
                for row in idle
                if row.until > now and row.connection.is_idle
            ]
            for row in idle:
                if row not in live:
                    row.connection.close()
            if live:
                self._idle[address] = collections.deque(live)
            else:
                del self._idle[address]

    def close(self):
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)

    def list_ready(self, repeatable):
        """List the addresses with an idle connection fit for a request.

        Parameters
        ----------
        repeatable : bool
            Whether the request may be sent again if it is lost.

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
        """Open a connection.

        Raises
        ------
        ExchangeError
            With `sent` false, if it isn't established in time.
        """
        loop = asyncio.get_running_loop()
        try:
            async with timeouts.Timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    self._make_connection, *address
                )
        except (OSError, TimeoutError) as error:
            silent = isinstance(error, TimeoutError)
            refused = isinstance(error, ConnectionRefusedError)
            raise ExchangeError(
                f'connect: {error!r}', False, silent, refused
            ) from error
        set_options(connection)
        self._metrics.connections.inc()
        return connection

    def _take_idle(self, address, repeatable, used):
        idle = self._idle[address]
        kept = [row for row in idle if row.connection in used]
        for row in kept:
            idle.remove(row)
        taken = self._take_newest(idle, repeatable)
        idle.extend(kept)
        return taken

    def _take_newest(self, idle, repeatable):
        """Take the newest idle connection that is usable, or return None."""
        while idle:
            # Newest first, so that surplus connections expire.
            row = idle[-1]
            now = self._clock()
            if is_usable(row, repeatable, now) and row.connection.is_at_rest:
                idle.pop()
                set_keepalive_probes(row.connection, BUSY_KEEPALIVE_PROBES)
                return row
            if now < row.until and row.connection.is_at_rest:
                return None
            idle.pop()
            row.connection.close()
        return None


def is_usable(row, repeatable, now):
    """Return whether an idle connection may be used for a request.

    Parameters
    ----------
    row : IdleConnection
    repeatable : bool
        Whether the request may be sent again if it is lost.
    now : float
        Time of the pool's clock, seconds.
    """
    if now >= row.until or not row.connection.is_idle:
        return False
    return repeatable or now - row.since <= MAX_UNREPEATABLE_IDLE_S


def set_options(connection):
    """Bound a connection's buffers, and have the kernel probe its peer."""
    sock = connection.get_socket()
    connection_module.limit_buffers(sock)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    set_keepalive_probes(connection, BUSY_KEEPALIVE_PROBES)


def set_keepalive_probes(connection, probes):
    """Set after how many unanswered probes the kernel drops a connection."""
    sock = connection.get_socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)


class Exchange:
    """One request to a target and its answer, on one connection.

    Attributes
    ----------
    connection : connection.Connection
    """

    def __init__(self, upstream, address, connection, max_idle, idle=None):
        self._upstream = upstream
        self._idle = idle
        self._max_idle = max_idle
        self._address = address
        self.connection = connection
        self._reader = answer_reader.AnswerReader(connection)
        self._head = None
        # Of a head that its owner has not asked for since it was read.
        self._unseen = Sign.NOTHING
        # Why the exchange failed as it was looked at.
        self._error = None
        self._answered_early = False

    def send(self, method, target, headers, body, is_last=False):
        """Send a complete request.

        From here on nobody can prove that the target did not execute it.
        """
        self._reader.send(method, target, headers, body, is_last)

    async def read_head(self, is_due):
        """Read the head of the answer, past those to other requests.

        It is read once, and then returned again.

        Parameters
        ----------
        is_due : callable
            As in AnswerReader.read_head.

        Returns
        -------
        answers.Head

        Raises
        ------
        ExchangeError
        """
        self._unseen = Sign.NOTHING
        if self._error is not None:
            raise self._error
        if self._head is not None:
            return self._head
        head = await self._read(self._reader.read_head(is_due))
        # If the answer came before all of the request was sent, the rest of
        # the body is still due: the connection can't be used again.
        self._answered_early = not self.connection.is_flushed
        self._head = head
        return head

    async def read_data(self):
        """Return the next bytes of the body; b'' at its complete end.

        Raises
        ------
        ExchangeError
        """
        return await self._read(self._reader.read_data())

    @property
    def error(self):
        """Why the exchange had failed when it was looked at, or None."""
        return self._error

    @property
    def is_closed(self):
        """Whether the target has closed or reset the connection."""
        return self.connection.closed

    def release(self):
        """Keep the connection if it can take another request."""
        head = self._head
        is_clean = self._reader.is_reusable and self.connection.is_idle
        if not is_clean or self._answered_early or head.closing:
            self.connection.close()
            return
        advertised_s = head.keep_alive_s
        idle_s = (
            DEFAULT_IDLE_S
            if advertised_s is None
            else advertised_s - keep_alive.MARGIN_S
        )
        self._upstream.keep(
            self._address, self.connection, idle_s, self._max_idle
        )

    async def look(self, is_due, is_incomplete=False):
        """Return what has arrived since the last read.

        Bytes are an answer only with the complete head of the one that is
        due.  If the exchange has failed, the next read tells why.

        Parameters
        ----------
        is_due : callable
            As in AnswerReader.read_head.
        is_incomplete : bool, optional
            Whether the bytes after the head complete no event.

        Returns
        -------
        Sign
        """
        if self._unseen:
            return self._unseen
        if self.connection.is_idle:
            return Sign.NOTHING
        if self._head is not None:
            return Sign.NOTHING if is_incomplete else Sign.SUCCESS
        return await self._look_for_head(is_due)

    async def _look_for_head(self, is_due):
        try:
            async with timeouts.Timeout(POLL_S):
                head = await self.read_head(is_due)
        except TimeoutError:
            return Sign.NOTHING
        except ExchangeError as error:
            self._error = error
            return Sign.FAILURE
        is_success = 200 <= head.status < 300
        self._unseen = Sign.SUCCESS if is_success else Sign.FAILURE
        return self._unseen

    def cancel(self):
        """Return the connection of an exchange that has sent nothing."""
        if self._idle is not None:
            self._upstream.put_back(self._address, self._idle, self._max_idle)
            return
        self._upstream.keep(
            self._address, self.connection, DEFAULT_IDLE_S, self._max_idle
        )

    def abort(self):
        """End the connection, at which the target cancels the request.

        A request without an answer may still be in the kernel, which would
        deliver it once the path of a silent target works again.
        """
        if self._head is None:
            self.connection.reset()
        else:
            self.connection.abort()

    async def _read(self, reading):
        try:
            return await reading
        except response_reader.ResponseError as error:
            raise ExchangeError(str(error), True) from error
        except (OSError, h11.ProtocolError) as error:
            silent = isinstance(error, connection_module.PeerSilent)
            raise ExchangeError(repr(error), True, silent) from error
