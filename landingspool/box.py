"""Assembly of all parts of one box; it opens no socket of its own.

The daemon passes in real links, a real HTTP client and real clocks.  Tests
pass in simulated ones and run the same parts in virtual time.
"""

import asyncio
import time
import typing

from landingspool import boot_clock
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
from landingspool import supervisor as supervisor_module
from landingspool import timer as timer_module

LIVE_POLL_S = 0.5
DRAIN_NOTICE_S = 1.5
DRAIN_POLL_S = 0.05


class Environment(typing.NamedTuple):
    """Interfaces of a box to its environment.

    Attributes
    ----------
    client : httpclient.Client
    clock : callable
        Returns monotonic time in seconds.
    wall : callable
        Returns wall-clock time in seconds.
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
        Identifies this start of the box; sorts after all earlier ones.
    environment : Environment
    """

    def __init__(self, settings, incarnation, environment):
        self.settings = settings
        self.incarnation = incarnation
        self.recorder = events.Recorder(settings.box.name, environment.wall)
        self.metrics = metrics_module.Metrics()
        self.supervisor = supervisor_module.Supervisor(
            self.recorder, self.metrics.task_failures
        )
        self.timer = timer_module.Timer(
            environment.clock, on_error=self.supervisor.report
        )
        self.client = environment.client
        self.node = node_module.Node(
            settings.box.name,
            settings.box.domain,
            incarnation,
            make_policy(settings.policy),
            settings.policy.retention,
        )
        self.core = core_module.Core(
            self.node,
            self.timer,
            self.recorder,
            self.metrics,
            self.client,
            self.supervisor,
        )
        self._stop = asyncio.Event()
        self._build_platform()
        self._build_servers(environment.wall)

    def start(self, links):
        """Start all tasks, with `links` to the other boxes."""
        self.core.links = links
        self.core.start(self.settings.policy.report_period_s)
        self.supervisor.keep('live', self._poll_live)
        self.supervisor.keep('configuration', self.follower.run)
        self.supervisor.keep('claims', self.claims.run)
        self.recorder.record('started', incarnation=self.incarnation)

    def drain(self):
        """Start a planned stop."""
        self._stop.set()

    async def wait_drained(self):
        """Wait for a planned stop and until no request is open."""
        await self._stop.wait()
        self.recorder.record('draining', open=self.core.count_open())
        self.serving.stopping = True
        self.node.membership.leave()
        # Peers have to receive the update first: until then they may still
        # use this box as a scheduler, and it still answers.
        await asyncio.sleep(DRAIN_NOTICE_S)
        while self.core.count_open():
            await asyncio.sleep(DRAIN_POLL_S)

    async def close(self):
        """Cancel all tasks."""
        self.timer.close()
        await self.supervisor.close()
        self.recorder.record('stopped')

    def _build_platform(self):
        platform = self.settings.platform
        address = settings_module.make_address(platform.log)
        self.log = log_module.Log(self.client, address)
        self.live = live.LiveList(
            self.client,
            settings_module.make_address(platform.live),
            self._record_malformed,
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
        self.serving = callers.CallerServer(
            self.core, self.claims, settings.callers, wall
        )
        self.operating = operators.OperatorApi(
            self.core, self.follower, self.log, settings.operators, self.drain
        )

    def _count_boxes(self):
        members = self.node.members.values()
        return max(1, sum(1 for m in members if m.kind == 'entry'))

    def _record_malformed(self, reason):
        self.recorder.record('malformed', key='live', reason=reason)

    async def _poll_live(self):
        while True:
            members = await self.live.read()
            # The last list stays in use while the platform is unavailable:
            # its boxes and targets are presumed to be still alive.
            if not isinstance(members, outcomes.Unavailable):
                self.core.set_members(members)
            await asyncio.sleep(LIVE_POLL_S)


def make_policy(policy):
    """Return the policy of the decisions from the settings."""
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
