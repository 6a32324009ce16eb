"""Callers of boxes that are partitioned from all targets are served.

The other boxes, the platform's store and the callers still reach them.
"""

import asyncio

import pytest

from landingspool.gateway import upstream
from landingspool import http
from tests.gateway import site

# Seconds after the beginning of a cut from which the rule holds.
CONTACT_S = 3.0
COUNTED_S = 2.0
ASK_PERIOD_S = 0.05
BOXES = 4
PATHS = '/safe/a', '/unsafe/a', '/resumed/a'


class Cut:
    """Partitions one box from all targets, in one of MANNERS.

    Parameters
    ----------
    hub
    targets : sequence of runner.Runner
    manner : str
    """

    def __init__(self, hub, targets, manner):
        self._addresses = {http.Address(*t.address[:2]) for t in targets}
        self._is_on = True
        self._fail = MANNERS[manner]
        self._connect = hub.upstream._connect
        self._open = hub.client.open
        hub.upstream._connect = self._connect_if_healed
        hub.client.open = self._open_if_healed
        for address in self._addresses:
            if manner == 'hanging':
                silence(hub.upstream._idle[address])
            elif manner == 'refused':
                hub.upstream.drop(address)

    def heal(self):
        """Let new connections come up again."""
        self._is_on = False

    async def _connect_if_healed(self, address):
        if self._is_on and http.Address(*address) in self._addresses:
            await self._fail()
        return await self._connect(address)

    def _open_if_healed(self, address):
        call = self._open(address)
        if self._is_on and http.Address(*address) in self._addresses:
            call.connect = self._refuse_call
        return call

    async def _refuse_call(self, fresh=False):
        raise http.Unreachable('connect: cut', False)


def silence(idle):
    """Let the idle connections neither send nor receive any more."""
    for row in idle:
        row.connection.write = lambda data: None


async def hang():
    await asyncio.sleep(upstream.CONNECT_TIMEOUT_S)
    raise upstream.ExchangeError('connect: time-out', False, silent=True)


async def refuse():
    raise upstream.ExchangeError('connect: refused', False)


MANNERS = {'hanging': hang, 'refused': refuse, 'old connections live': refuse}


async def measure_served(hubs, seconds):
    """Return the share of first tries that each box serves."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    asked = {hub.deployment.box: [] for hub in hubs}
    while loop.time() < end:
        for hub in hubs:
            rows = asked[hub.deployment.box]
            path = PATHS[len(rows) % len(PATHS)]
            rows.append(asyncio.ensure_future(site.ask(hub, path)))
        await asyncio.sleep(ASK_PERIOD_S)
    shares = {}
    for box, rows in asked.items():
        answers = await asyncio.gather(*rows)
        served = [a for a in answers if a.status == 200 and a.whole]
        shares[box] = len(served) / len(answers)
    return shares


async def start_cut(deployment, boxes, manner):
    """Start boxes and cut the first of them; return all, and the cuts."""
    for runner in deployment.engines:
        runner.usual = 'stream'
    hubs = await site.start_boxes(deployment, BOXES)
    await measure_served(hubs, 0.5)
    targets = deployment.plain + deployment.engines
    return hubs, [Cut(hub, targets, manner) for hub in hubs[:boxes]]


@pytest.mark.parametrize('manner', MANNERS)
@pytest.mark.parametrize('boxes', [1, 3])
def test_first_tries_at_boxes_cut_from_all_targets_are_served(boxes, manner):
    async def check(deployment):
        hubs, _ = await start_cut(deployment, boxes, manner)
        await measure_served(hubs, CONTACT_S)
        shares = await measure_served(hubs, COUNTED_S)
        names = [hub.deployment.box for hub in hubs]
        others = min(shares[name] for name in names[boxes:])
        assert others > 0.9, shares
        assert all(shares[n] >= others * 2 / 3 for n in names[:boxes]), shares

    site.run(check, plain=3, engines=3)


@pytest.mark.parametrize('manner', ['hanging', 'refused'])
@pytest.mark.parametrize('asked', [0, 2])
def test_weights_are_ordered_though_the_first_box_is_cut(asked, manner):
    # Guards against a claim that is held by a box that reaches no target.
    async def check(deployment):
        hubs = await site.start_boxes(deployment, BOXES)
        (first,) = [h for h in hubs if not h.peering.get_rank('orders')]
        Cut(first, deployment.plain + deployment.engines, manner)
        for _ in range(asked):
            await site.ask(first, '/safe/a')
        named = {'model': 'm', 'version': 2}
        deployment.store.put('keyed.op', 'version/m', named)
        await site.wait_until(
            lambda: all(r.version == 2 for r in deployment.engines), 15.0
        )

    site.run(check, plain=3, engines=2)
