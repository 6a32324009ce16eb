"""All parts of one box, put together; it opens no socket of its own.

The daemon gives it real links, a real HTTP client and real clocks; tests
give it others, and drive the same parts in virtual time.
"""

import asyncio
import time
import typing

from landingspool.callers import server as callers
from landingspool import core as core_module
from landingspool.decisions import node as node_module
from landingspool.decisions import policies
from landingspool import events
from landingspool.ledger import claimer
from landingspool.ledger import follower
from landingspool.ledger import live
from landingspool.ledger import log as log_module
from landingspool.ledger import outcomes
from landingspool import metrics as metrics_module
from landingspool.operators import server as operators
from landingspool import settings as settings_module
from landingspool import timer as timer_module
from landingspool import boot_clock

LIVE_POLL_S = 0.5
DRAIN_NOTICE_S = 1.5
DRAIN_POLL_S = 0.05


class Environment(typing.NamedTuple):
    """What a box reaches the world through.

    `clock` gives monotonic seconds, `wall` those of the wall clock.
    """

    client: typing.Any
    clock: typing.Callable = boot_clock.read
    wall: typing.Callable = time.time


class Box:
    """The parts of one box.

    Parameters
    ----------
    settings : settings.Settings
    incarnation : str
        Sorts after those of all earlier starts of this box.
    outside : Environment
    """

    def __init__(self, settings, incarnation, outside):
        self.settings = settings
        self.incarnation = incarnation
        self.timer = timer_module.Timer(outside.clock)
        self.recorder = events.Recorder(settings.box.name, outside.wall)
        self.metrics = metrics_module.Metrics()
        self.client = outside.client
        self.node = node_module.Node(
            settings.box.name,
            settings.box.domain,
            incarnation,
            make_policy(settings.policy),
            settings.policy.retention,
        )
        self.core = core_module.Core(
            self.node, self.timer, self.recorder, self.metrics, self.client
        )
        self._stop = asyncio.Event()
        self._build_platform()
        self._build_servers(outside.wall)

    def start(self, links):
        """Begin to work, with `links` to the other boxes."""
        self.core.links = links
        self.core.start(self.settings.policy.report_period_s)
        self.core.keep(self._poll_live)
        self.core.keep(self.follower.run)
        self.core.keep(self.claims.run)
        self.recorder.record('started', incarnation=self.incarnation)

    def drain(self):
        """Begin a planned stop."""
        self._stop.set()

    async def wait_drained(self):
        """Wait for a planned stop and until nothing is open any more."""
        await self._stop.wait()
        self.recorder.record('draining', open=self.core.count_open())
        self.serving.stopping = True
        self.node.membership.leave()
        # The others have to hear of it first: until then they may still
        # ask this box as a scheduler, and it still answers.
        await asyncio.sleep(DRAIN_NOTICE_S)
        while self.core.count_open():
            await asyncio.sleep(DRAIN_POLL_S)

    async def close(self):
        """End all tasks."""
        self.timer.close()
        await self.core.close()
        self.recorder.record('stopped')

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

    def _build_servers(self, wall):
        settings = self.settings
        self.serving = callers.Serving(
            self.core, self.claims, settings.callers, wall
        )
        self.operating = operators.Operating(
            self.core, self.follower, self.log, settings.operators, self.drain
        )

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


def make_policy(policy):
    """Give the core's policy from the settings."""
    return policies.Policy(
        routing=policy.routing,
        charge=policy.charge,
        link_price_s=policy.link_price_s,
        grant_lease_s=policy.grant_lease_s,
        decision_age_s=policy.decision_age_s,
        seed=policy.seed,
        admission=policy.admission,
        backlog_s=policy.backlog_s,
    )
