"""Topics that come back from a copy and end again where a box had read to."""

import asyncio

from tests.gateway import site

AWAY_S = 0.3
# Seconds in which a box in touch knows what operators and targets wrote.
HEARD_S = 3.0


async def return_regrown(deployment, write_lost, write_away, is_read):
    """Lose a record that a box has read, and put another in its place.

    Parameters
    ----------
    write_lost, write_away : callable
        Write a record of one key, before and while the store is away.
    is_read : callable
        Tells whether the box knows the first one.
    """
    copies = deployment.store.copy()
    write_lost()
    await site.wait_until(is_read, HEARD_S)
    await deployment.store.leave()
    await asyncio.sleep(AWAY_S)
    write_away()
    deployment.store.restore(copies)
    await deployment.store.come_back()


def test_a_key_revoked_as_the_store_was_away_is_refused():
    # Guards against a box that takes a regrown topic for the one it read.
    async def check(deployment):
        hub = await deployment.start_box()
        await return_regrown(
            deployment,
            lambda: deployment.publish(site.make_table(5)),
            lambda: deployment.publish(site.make_table(6, keys=('other',))),
            lambda: hub.view.table.version == 5,
        )
        await site.wait_until(lambda: hub.view.table.version == 6, HEARD_S)
        assert (await site.ask(hub, '/safe/a')).status == 401

    site.run(check)


def test_weights_named_as_the_store_was_away_are_heard_of():
    def name(deployment, version):
        weights = {'model': 'm', 'version': version}
        deployment.store.put('keyed.op', 'version/m', weights)

    async def check(deployment):
        hub = await deployment.start_box()
        named = hub.view.weights.named
        await return_regrown(
            deployment,
            lambda: name(deployment, 2),
            lambda: name(deployment, 3),
            lambda: named['m'].version == 2,
        )
        await site.wait_until(lambda: named['m'].version == 3, HEARD_S)

    site.run(check)


def test_a_target_that_said_it_leaves_as_the_store_was_away_is_left():
    async def check(deployment):
        hub = await deployment.start_box()
        target = deployment.plain[0]
        await return_regrown(
            deployment,
            lambda: deployment.announce(target, 'plain', domain='d9'),
            lambda: deployment.announce(target, 'plain', state='draining'),
            lambda: hub.view.fleet.entries['p0'].domain == 'd9',
        )
        await site.wait_until(
            lambda: 'p0' not in hub.view.fleet.entries, HEARD_S
        )

    site.run(check)
