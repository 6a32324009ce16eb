"""The daemon: one process a box, all boxes alike."""

import argparse
import asyncio
import gc
import signal
import sys
import time

from landingspool.boxes import link
from landingspool.callers import server as callers
from landingspool import core as core_module
from landingspool.decisions import node as node_module
from landingspool.decisions import scheduler
from landingspool import events
from landingspool import http
from landingspool import metrics as metrics_module
from landingspool.operators import server as operators
from landingspool.platform import claimer
from landingspool.platform import follower
from landingspool.platform import live
from landingspool.platform import log as log_module
from landingspool.platform import outcomes
from landingspool import settings as settings_module
from landingspool import timer as timer_module

LIVE_POLL_S = 0.5
DRAIN_NOTICE_S = 1.5
DRAIN_POLL_S = 0.05
BAD_SETTINGS = 2


class Daemon:
    """Builds the parts of one box from its settings and runs them.

    Parameters
    ----------
    settings : settings.Settings
    """

    def __init__(self, settings):
        self.settings = settings
        self.incarnation = f'{time.time_ns() // 1_000_000:x}'
        self.timer = timer_module.Timer()
        self.recorder = events.Recorder(settings.box.name)
        self.metrics = metrics_module.Metrics()
        self.client = http.Client()
        self.node = node_module.Node(
            settings.box.name,
            settings.box.domain,
            self.incarnation,
            make_policy(settings.policy),
            settings.policy.retention,
        )
        self.core = core_module.Core(
            self.node, self.timer, self.recorder, self.metrics, self.client
        )
        self._stop = asyncio.Event()
        self._build_platform()
        self._build_servers()

    async def run(self):
        """Serve until told to stop, then stop without cutting off."""
        settings = self.settings
        await self.core.links.start(settings.links.host, settings.links.port)
        self.core.start(settings.policy.report_period_s)
        self.core.keep(self._poll_live)
        self.core.keep(self.follower.run)
        self.core.keep(self.claims.run)
        at = settings.operators
        await self.operator_server.start(at.host, at.port)
        at = settings.callers
        await self.caller_server.start(at.host, at.port)
        self.recorder.record('started', incarnation=self.incarnation)
        await self._stop.wait()
        await self._drain()

    def drain(self):
        """Begin a planned stop."""
        self._stop.set()

    def _build_platform(self):
        platform = self.settings.platform
        address = settings_module.take_address(platform.log)
        self.log = log_module.Log(self.client, address)
        self.live = live.Live(
            self.client, settings_module.take_address(platform.live)
        )
        self.follower = follower.Follower(self.log, self.core)
        self.claims = claimer.Claimer(
            self.log,
            f'{self.settings.box.name}.{self.incarnation}',
            self.settings.policy.claim_window_s,
            self.recorder,
            self._count_boxes,
        )

    def _build_servers(self):
        settings = self.settings
        identity = link.Identity(
            settings.box.name,
            settings.box.domain,
            self.incarnation,
            settings.links.secret,
        )
        self.core.links = link.Links(
            identity,
            self.core.find_address,
            self.core.deliver,
            self.recorder,
            self.metrics,
            settings.links.queue,
        )
        self.serving = callers.Serving(
            self.core, self.claims, settings.callers
        )
        self.operating = operators.Operating(
            self.core, self.follower, self.log, settings.operators, self.drain
        )
        self.caller_server = http.Server(
            self.serving.handle, settings.callers.max_body_bytes
        )
        self.operator_server = http.Server(self.operating.handle)

    def _count_boxes(self):
        members = self.node.members.values()
        return max(1, sum(1 for m in members if m.kind == 'entry'))

    async def _poll_live(self):
        while True:
            members = await self.live.read()
            # With the platform away the last list is kept: the boxes and
            # targets on it are still there, as far as anybody knows.
            if not isinstance(members, outcomes.Unavailable):
                self.core.set_members(members)
            await asyncio.sleep(LIVE_POLL_S)

    async def _drain(self):
        """Refuse new requests, hand over, finish what is open."""
        self.recorder.record('draining', open=self.core.count_open())
        self.serving.stopping = True
        self.node.membership.leave()
        await asyncio.sleep(DRAIN_NOTICE_S)
        while self.core.count_open():
            await asyncio.sleep(DRAIN_POLL_S)
        await self.caller_server.close(grace_s=1.0)
        await self.operator_server.close()
        self.timer.close()
        await self.core.close()
        await self.core.links.close()
        self.client.close()
        self.recorder.record('stopped')


def make_policy(policy):
    """Give the core's policy from the settings."""
    return scheduler.Policy(
        routing=policy.routing,
        charge=policy.charge,
        link_price_s=policy.link_price_s,
        grant_lease_s=policy.grant_lease_s,
        decision_age_s=policy.decision_age_s,
        seed=policy.seed,
    )


async def serve(settings):
    """Run a daemon until SIGTERM or SIGINT."""
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.drain)
    await daemon.run()


def main(arguments=None):
    """Run `landingspoold`; returns the exit status."""
    parser = argparse.ArgumentParser(prog='landingspoold')
    parser.add_argument('settings', help='path of the TOML settings')
    options = parser.parse_args(arguments)
    settings, errors = settings_module.load(options.settings)
    if errors:
        for error in errors:
            print(settings_module.format_error(error), file=sys.stderr)
        return BAD_SETTINGS
    events.configure_logs(settings.logs.format, settings.logs.level)
    gc.freeze()
    asyncio.run(serve(settings))
    return 0


if __name__ == '__main__':
    sys.exit(main())
