"""Watch which software versions the targets of each service have.

A box that has watched for a shorter time than a stream may last can't tell
that there was a single version.  It asks peers for what they have seen.
"""

import asyncio

import msgspec

from landingspool.decisions.gateway import software_history
from landingspool.gateway import boxcalls

HISTORY_PATH = '/software'
# Period of the records of the versions that are listed, seconds.
OBSERVE_PERIOD_S = 5.0
# Period at which a box that has watched for a short time asks a peer, seconds.
ADOPT_PERIOD_S = 1.0
# Time-out for the answer, seconds.
ADOPT_TIMEOUT_S = 1.0


class SoftwareWatch:
    """Keeps the history of versions, and tells peers of it.

    Parameters
    ----------
    hub
        The box's parts: `view`, `peering`, `client`, `timer`, `recorder`,
        `clock`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._history = hub.view.software_history
        # The services with several versions.
        self._mixed = set()
        self._adopting = None

    def start(self):
        """Begin the periodic checks."""
        self._hub.timer.subscribe(OBSERVE_PERIOD_S, self._observe)
        self._hub.timer.subscribe(ADOPT_PERIOD_S, self._adopt_soon)

    async def answer(self, request, exchange):
        """Answer a box that asks for the versions seen by this one."""
        report = self._history.make_report(self._hub.clock())
        await boxcalls.answer(exchange, msgspec.to_builtins(report))

    def _observe(self, tick):
        entries = self._hub.view.fleet.entries.values()
        self._history.observe(entries, tick.now)
        self._history.drop_expired(tick.now)
        self._log_changes(self._history.list_mixed(tick.now))

    def _log_changes(self, mixed):
        """Log which services begin or end to have several versions."""
        for service in mixed.keys() - self._mixed:
            self._hub.recorder.record(
                'software_mixed', service=service, versions=mixed[service]
            )
        for service in self._mixed - mixed.keys():
            self._hub.recorder.record('software_single', service=service)
        self._mixed = set(mixed)

    def _adopt_soon(self, tick):
        """Ask a peer for its history if this box has watched too short."""
        if self._history.has_watched(tick.now):
            return
        peers = list(self._hub.peering.peers.values())
        if peers and (self._adopting is None or self._adopting.done()):
            peer = self._hub.view.rng.choice(peers)
            self._adopting = asyncio.ensure_future(self._adopt(peer))

    async def _adopt(self, peer):
        sent = self._hub.clock()
        try:
            report = await boxcalls.fetch(
                self._hub.client,
                peer.address,
                software_history.Report,
                ('GET', HISTORY_PATH),
                timeout=ADOPT_TIMEOUT_S,
            )
        except boxcalls.NoAnswer as error:
            self._hub.recorder.record(
                'owner_silent', peer=peer.name, reason=str(error)
            )
            return
        if self._history.adopt(report, sent):
            self._hub.recorder.record(
                'history_adopted',
                peer=peer.name,
                watched_s=round(report.watched_s, 1),
            )
