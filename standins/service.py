"""What the stand-ins share: one way to start, a ready line, switches.

Each stand-in is a program of its own.  It prints one JSON line with its
address when it serves, and runs until it is told to stop.
"""

import argparse
import asyncio
import json
import signal

from landingspool import http_server

ROUTES = {}


class Standin:
    """Serves the methods that `route` has registered for its class.

    Parameters
    ----------
    options : argparse.Namespace
    """

    def __init__(self, options):
        self.options = options

    async def handle(self, request, exchange):
        """Answer one request by the table of routes."""
        for kind in type(self).__mro__:
            call = ROUTES.get((kind.__name__, request.method, request.path))
            if call is not None:
                await call(self, request, exchange)
                return
        await exchange.send_json(404, {'error': 'no such route'})

    async def run(self):
        """Do background work; the base has none."""


def now():
    """Give the time of the running loop, in seconds."""
    return asyncio.get_running_loop().time()


def route(owner, method, path):
    """Register a method as the handler of a path of the class `owner`."""

    def add(function):
        ROUTES[(owner, method, path)] = function
        return function

    return add


def parse_options(*extra):
    """Parse the command line: address options and those in `extra`."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    for name, default in extra:
        parser.add_argument(f'--{name}', type=type(default), default=default)
    return parser.parse_args()


async def serve(standin):
    """Serve until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server = http_server.Server(standin.handle, max_body=64 * 1024 * 1024)
    address = await server.start(standin.options.host, standin.options.port)
    print(json.dumps({'host': address.host, 'port': address.port}), flush=True)
    work = asyncio.ensure_future(standin.run())
    await stop.wait()
    work.cancel()
    await server.close()


def main(kind, *extra):
    """Run a stand-in of the class `kind`."""
    asyncio.run(serve(kind(parse_options(*extra))))
