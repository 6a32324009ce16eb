"""Opens sockets whose connections hold little and come a few at a time."""

import socket

from landingspool import connection

# New connections that wait in the kernel, and those that are accepted in one
# turn of the event loop, before any of them is judged.
BACKLOG = 512
ACCEPT_BURST = 16


def open_socket(host, port):
    """Return a socket bound to an address.

    Its connections inherit the sizes of the kernel's buffers.

    Parameters
    ----------
    host : str
        An IP address.
    port : int
        0 takes a free one.

    Raises
    ------
    OSError
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # Without the protocol the event loop leaves Nagle's algorithm on.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        connection.limit_buffers(sock)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock


async def listen(sock, serve):
    """Begin to accept connections.

    Parameters
    ----------
    sock : socket.socket
        As of `open_socket`.
    serve : callable
        Coroutine function that takes ``sock`` and ``backlog`` by name, and
        returns the asyncio server.

    Returns
    -------
    asyncio.Server
    """
    # The event loop accepts as many at once as it tells the kernel.
    server = await serve(sock=sock, backlog=ACCEPT_BURST)
    sock.listen(BACKLOG)
    return server
