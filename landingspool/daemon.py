"""The daemon `landingspoold`: one process per box, the same on all boxes."""

import argparse
import asyncio
import gc
import json
import signal
import sys
import time

from landingspool import boot_clock
from landingspool import box as box_module
from landingspool.boxes import link
from landingspool import events
from landingspool import http_server
from landingspool import httpclient
from landingspool import settings as settings_module

BAD_SETTINGS = 2
CLOSE_GRACE_S = 1.0


class Daemon:
    """Runs one box with its sockets.

    Parameters
    ----------
    settings : settings.Settings
    """

    def __init__(self, settings):
        self.settings = settings
        self.client = httpclient.Client()
        # The time of the start in milliseconds, in hexadecimal: a later
        # start of the same box sorts after an earlier one.
        incarnation = f'{time.time_ns() // 1_000_000:x}'
        environment = box_module.Environment(self.client)
        self.box = box_module.Box(settings, incarnation, environment)
        self.links = self._make_links()
        self.caller_server = http_server.Server(
            self.box.serving.handle,
            settings.callers.max_body_bytes,
            self.box.supervisor.make_reporter('caller_requests'),
        )
        self.operator_server = http_server.Server(
            self.box.operating.handle,
            on_error=self.box.supervisor.make_reporter('operator_requests'),
        )

    async def run(self):
        """Serve until a planned stop, and finish all open requests first."""
        settings = self.settings
        at = settings.links
        links = await self.links.start(at.host, at.port)
        self.box.start(self.links)
        at = settings.operators
        operators = await self.operator_server.start(at.host, at.port)
        at = settings.callers
        callers = await self.caller_server.start(at.host, at.port)
        print_ready(callers=callers, operators=operators, links=links)
        await self.box.wait_drained()
        await self.caller_server.close(CLOSE_GRACE_S)
        await self.operator_server.close()
        await self.box.close()
        await self.links.close()
        self.client.close()

    def _make_links(self):
        settings = self.settings
        core = self.box.core
        identity = link.Identity(
            settings.box.name,
            settings.box.domain,
            self.box.incarnation,
            settings.links.secret,
        )
        return link.Links(
            identity,
            core.get_address,
            core.deliver,
            core.recorder,
            core.metrics,
            settings.links.queue,
            self.box.supervisor,
        )


def print_ready(**addresses):
    """Print one JSON line with the addresses in use.

    A parent process that starts the daemon with port 0 reads the ports here.
    """
    print(json.dumps({k: list(v) for k, v in addresses.items()}), flush=True)


async def serve(settings):
    """Run a daemon until SIGTERM or SIGINT."""
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(daemon.box.supervisor.report_loop_error)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.box.drain)
    await daemon.run()


def main(arguments=None):
    """Run `landingspoold` and return its exit status."""
    parser = argparse.ArgumentParser(prog='landingspoold')
    parser.add_argument('settings', help='path of the TOML settings')
    options = parser.parse_args(arguments)
    settings, errors = settings_module.load(options.settings)
    if errors:
        for error in errors:
            print(settings_module.format_error(error), file=sys.stderr)
        return BAD_SETTINGS
    events.configure_logs(settings.logs.format, settings.logs.level)
    # Imported objects live as long as the process: the garbage collector
    # need not visit them again.
    gc.freeze()
    boot_clock.run(serve(settings))
    return 0


if __name__ == '__main__':
    sys.exit(main())
