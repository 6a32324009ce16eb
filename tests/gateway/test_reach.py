"""Tests that unreachable targets cost requests no connection time-outs."""

import asyncio
import socket

from landingspool.decisions.gateway import reachability
from tests.gateway import site

# Times for which probes are counted, and seconds of each.  A pause of the
# process takes one of them at most.
TURNS = 30
TURN_S = 0.1


async def stop(target):
    """Stop a target; return what keeps its port, which refuses connections.

    Another process could get a port that is free.
    """
    await target.close()
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(target.address[:2])
    return holder


async def start_again(target, holder):
    """Start a target with the name and the port of one that was stopped."""
    holder.close()
    back = site.runner_module.Runner(target.name)
    back._server = await asyncio.start_server(back._serve, *target.address[:2])
    return back


def test_one_failed_connection_takes_a_target_out_until_one_comes_up():
    async def check(deployment):
        hub = await deployment.start_box()
        gone = deployment.plain[0]
        holder = await stop(gone)
        # Concurrent, since sequential requests share one connection.
        asks = (site.ask(hub, '/safe/a') for _ in range(20))
        for got in await asyncio.gather(*asks):
            assert got.status == 200
        assert hub.view.reachability.is_out('p0')
        attempts = await count_attempts(hub, 20)
        assert attempts == {'p1': 20}
        back = await start_again(gone, holder)
        await site.wait_until(
            lambda: not hub.view.reachability.is_out('p0'), 3.0
        )
        assert not back.heads

    site.run(check)


async def count_attempts(hub, asks):
    """Return the number of attempts at each target over some requests."""
    attempted = {}
    plan = hub.view.plan

    def record(*args):
        made = plan(*args)
        name = made.entry.name
        attempted[name] = attempted.get(name, 0) + 1
        return made

    hub.view.plan = record
    for _ in range(asks):
        assert (await site.ask(hub, '/safe/a')).status == 200
    hub.view.plan = plan
    return attempted


def test_a_box_looks_for_itself_when_another_one_finds_a_target_dark():
    async def check(deployment):
        first = await deployment.start_box('box1')
        second = await deployment.start_box('box2')
        await site.wait_until(lambda: 'box2' in first.peering.peers)
        await site.wait_until(lambda: 'box1' in second.peering.peers)
        holder = await stop(deployment.plain[0])
        for name in ('p0', 'p1'):
            for _ in range(reachability.REPORT_AFTER):
                first.prober.record_failed(name, 'told by the test')
        # Its own probes fail for one target and succeed for the other.
        await site.wait_until(
            lambda: second.view.reachability.list_failed() == ['p0'], 2.0
        )
        await site.wait_until(
            lambda: not second.view.reachability.is_out('p1'), 2.0
        )
        holder.close()

    site.run(check)


def test_tries_grow_rarer_and_never_end():
    known = reachability.Reachability()
    now, pauses = 10.0, []
    for _ in range(6):
        known.record_failed('t', now)
        before = now
        while not known.list_due(now):
            now += 0.1
        pauses.append(now - before)
    assert pauses[0] < pauses[1] < pauses[2]
    assert max(pauses) < reachability.MAX_RETRY_S + 0.2


def test_where_all_targets_are_out_they_are_tried_all_the_same():
    async def check(deployment):
        hub = await deployment.start_box()
        for name in ('p0', 'p1'):
            hub.prober.record_failed(name, 'told by the test')
        assert (await site.ask(hub, '/safe/a')).status == 200

    site.run(check)


def test_in_a_large_domain_most_boxes_wait_for_the_word_of_two():
    """Two of six boxes keep probing an unreachable target, not all six."""

    async def check(deployment):
        hubs = [await deployment.start_box(f'box{i}') for i in range(6)]
        await site.wait_until(
            lambda: all(len(hub.peering.peers) == 5 for hub in hubs)
        )
        gone = deployment.plain[0]
        holder = await stop(gone)
        for _ in range(reachability.REPORT_AFTER):
            for hub in hubs:
                hub.prober.record_failed('p0', 'told by the test')
        await asyncio.sleep(1.5)
        probing = await list_probing(hubs)
        watchers = hubs[0].view.watchers.list_watchers('p0')
        assert sorted(probing) == sorted(watchers)
        await start_again(gone, holder)
        # Sooner than their own next probe.
        await site.wait_until(
            lambda: (
                not any(hub.view.reachability.is_out('p0') for hub in hubs)
            ),
            4.0,
        )

    site.run(check)


async def list_probing(hubs):
    """List the boxes that probe a target while the process runs for 3 s."""
    counts = [count_probes(hub) for hub in hubs]
    for _ in range(TURNS):
        await asyncio.sleep(TURN_S)
    return [
        hub.deployment.box
        for hub, before in zip(hubs, counts, strict=True)
        if count_probes(hub) > before
    ]


def count_probes(hub):
    """Return the consecutive failed probes of a target at a box."""
    out = hub.view.reachability._outages.get('p0')
    return out.failed if out is not None else 0
