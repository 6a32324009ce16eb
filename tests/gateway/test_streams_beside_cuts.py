"""Streams taken up at boxes that were out of step as a new version joined.

A case is who is cut off from whom while targets of a second software version
join.  Streams begin through boxes in step, break, and are taken up at others.
"""

import asyncio
import collections
import functools

import pytest

from landingspool import http
from landingspool import httpclient
from landingspool.platform import names
from standins import platformstore
from standins import runner as runner_module
from tests.gateway import site
from tests.gateway import test_relay
from tests.gateway import test_stream_software as streams

OLD, NEW = 'v1', 'v2'
STREAMS = 24
# From the cut to the new targets, seconds.
JOIN_S = 0.2
# How long a cut lasts that heals, seconds.
CUT_S = 2.0
# Seconds after a cut has healed in which all that is known is found again.
HEALED_S = 1.0
# Seconds in which boxes notice that nobody listens at the store's address.
NOTICED_S = 0.5
# Seconds in which a box without the store learns of targets from others.
LEARNED_S = 4.0
# Seconds for which something that answers nobody is waited for.
SILENCE_S = 60.0
# Time that callers leave for a stream, milliseconds.
DEADLINE_MS = 30_000
ROUTES = {
    name: {**row, 'timeout_ms': DEADLINE_MS}
    for name, row in streams.ROUTES.items()
}
CASES = {}


def case(function):
    """Register a case: ``async case(scene)``."""
    CASES[function.__name__] = function
    return function


class Cuts:
    """Which boxes are cut off from each other.

    What they send each other is lost, also on connections that are open.  A
    call that was sent during a cut stays unanswered after it.
    """

    def __init__(self):
        self._apart = set()
        self._names = {}

    def add(self, hub):
        """Have cuts concern a box."""
        name = hub.deployment.box
        self._names[hub.deployment.links] = name
        socket = hub.peering._socket
        send_to_all = socket.send_to_all
        open_call = hub.client.open

        def send_some(message, addresses):
            reached = [a for a in addresses if not self.is_on(name, a)]
            send_to_all(message, reached)

        def open_some(address):
            call = open_call(address)
            spoil(call, functools.partial(self.is_on, name, address))
            return call

        socket.send_to_all = send_some
        hub.client.open = open_some

    def part(self, *hubs):
        """Cut some boxes off from all others."""
        self._apart |= {hub.deployment.box for hub in hubs}

    def heal(self):
        """End all cuts."""
        self._apart.clear()

    def is_on(self, name, address):
        """Return whether a box is cut off from the one at an address."""
        other = self._names.get(http.Address(*address))
        if other is None:
            return False
        return (name in self._apart) != (other in self._apart)


def spoil(call, is_cut):
    """Have a call lead nowhere while there is a cut."""
    connect, send = call.connect, call.send

    async def connect_or_fail(fresh=False):
        if is_cut():
            await asyncio.sleep(httpclient.CONNECT_TIMEOUT_S)
            raise http.Unreachable('connect: cut', False)
        await connect(fresh)

    async def send_or_hang(*args, **kinds):
        idle = call._client._idle.get(call._address)
        if idle and is_cut():
            idle.pop().stream.connection.close()
            await asyncio.sleep(SILENCE_S)
        await send(*args, **kinds)
        if is_cut():
            await asyncio.sleep(SILENCE_S)

    call.connect = connect_or_fail
    call.send = send_or_hang


class Scene:
    """Boxes with ways of their own to the store and to each other.

    Attributes
    ----------
    hubs : list of hub.Hub
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.hubs = []
        self._cuts = Cuts()
        self._entrances = {}
        self._began = {}
        self._number = 0

    async def start(self, *domains):
        """Start one box in each domain named."""
        table = site.make_table(2, routes=ROUTES)
        self.deployment.publish(table)
        for runner in self.deployment.engines:
            runner.software = OLD
            self.deployment.announce(runner, 'engine', model='m')
        for domain in domains:
            await self.start_box(domain)
        for hub in self.hubs:
            await site.wait_until(
                lambda hub=hub: len(hub.peering.peers) == len(domains) - 1
            )
            await hub.peering._registry._read_list()
        streams.watch(self.hubs)

    async def start_box(self, domain):
        """Start one more box."""
        name = f'box{len(self.hubs)}'
        entrance = platformstore.PlatformStore(self.deployment.store.topics)
        await entrance.start()
        self._entrances[name] = entrance
        hub = await self.deployment.start_box(
            name,
            [hub.deployment.links for hub in self.hubs],
            domain=domain,
            entrance=entrance,
            retry_slack=1000.0,
        )
        self._cuts.add(hub)
        self.hubs.append(hub)

    async def close(self):
        """Close the entrances."""
        for entrance in self._entrances.values():
            await entrance.close()

    def part(self, *hubs):
        """Cut boxes off from the others."""
        self._cuts.part(*hubs)

    def part_from_store(self, *hubs):
        """Have the store answer some boxes no more."""
        for hub in hubs:
            self._entrances[hub.deployment.box].mode = 'silent'

    async def leave_store(self):
        """Have the store be away for all."""
        for entrance in self._entrances.values():
            await entrance.leave()

    def heal(self):
        """End all cuts."""
        self._cuts.heal()
        for entrance in self._entrances.values():
            entrance.mode = ''

    async def join(self, *hubs, count=2):
        """Have targets of the new version join; wait until boxes know."""
        added = [runner_module.Runner(f'n{i}') for i in range(count)]
        for runner in added:
            await runner.start()
            runner.software = NEW
            self.deployment.engines.append(runner)
            self.deployment.announce(runner, 'engine', model='m')
        for hub in hubs:
            entries = hub.view.fleet.entries
            await site.wait_until(
                lambda entries=entries: all(
                    runner.name in entries for runner in added
                )
            )

    def remove(self, version):
        """Have the entries of the targets of a version go."""
        for runner in self.deployment.engines:
            if runner.software == version:
                self.deployment.store.put(
                    names.TARGETS_TOPIC, runner.name, b''
                )

    async def begin(self, *hubs):
        """Have callers begin streams at some boxes, which break."""
        begun = [f'a{self._count()}' for _ in range(STREAMS)]
        streams.usually(self.deployment, 'broken stream')
        answers = await asyncio.gather(
            *(
                site.ask(
                    hubs[number % len(hubs)],
                    '/taken/a',
                    name.encode(),
                    test_relay.PROMPT,
                    name=name,
                    deadline_ms=DEADLINE_MS,
                )
                for number, name in enumerate(begun)
            )
        )
        for got in answers:
            assert streams.list_events(got) == [1, 2], (got.status, got.body)
        streams.usually(self.deployment, 'stream')
        return begun

    async def take_up(self, begun, *hubs):
        """Have callers continue streams; return how each went on.

        Returns
        -------
        collections.Counter
            By the version at which it began and the one at which it went on,
            or the reason why it did not.
        """
        found = await asyncio.gather(
            *(
                self._take_up(name, hubs[number % len(hubs)])
                for number, name in enumerate(begun)
            )
        )
        return collections.Counter(found)

    async def _take_up(self, first, hub):
        name = f'b{self._count()}'
        got = await streams.take_up(hub, name, first)
        (began,) = streams.list_software(self.deployment, first)
        went_on = streams.list_software(self.deployment, name)
        if got.status == 200:
            assert streams.list_events(got) == [3, 4]
            return began, went_on[-1]
        assert got.status == 503, (got.status, got.body)
        assert not went_on
        return began, got.body.decode()

    def _count(self):
        self._number += 1
        return self._number


def find_wrong(found):
    """Return the streams that went on at another version."""
    return {
        row: count
        for row, count in found.items()
        if row[1] in (OLD, NEW) and row[0] != row[1]
    }


def check_served(found):
    """Check that all streams went on, at the versions that began them."""
    assert set(found) <= {(OLD, OLD), (NEW, NEW)}, found


async def release_beside(scene, cut, in_step):
    """Have a version join beside a cut; take streams up on its other side."""
    await asyncio.sleep(JOIN_S)
    await scene.join(*in_step)
    begun = await scene.begin(*in_step)
    found = await scene.take_up(begun, *cut)
    assert not find_wrong(found), found
    return begun, found


@case
async def two_boxes_cut_off_together(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:2], scene.hubs[2:]
    scene.part(*cut)
    scene.part_from_store(*cut)
    await release_beside(scene, cut, in_step)


@case
async def whole_domain_cut_off(scene):
    await scene.start('d1', 'd1', 'd1', 'd2', 'd2', 'd3')
    cut, in_step = scene.hubs[:3], scene.hubs[3:]
    scene.part(*cut)
    scene.part_from_store(*cut)
    await release_beside(scene, cut, in_step)


@case
async def one_box_cut_off_from_all(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:1], scene.hubs[1:]
    scene.part(*cut)
    scene.part_from_store(*cut)
    await release_beside(scene, cut, in_step)


@case
async def one_box_cut_off_from_the_others(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:1], scene.hubs[1:]
    scene.part(*cut)
    await release_beside(scene, cut, in_step)


@case
async def one_box_cut_off_from_the_others_without_a_release(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:1], scene.hubs[1:]
    scene.part(*cut)
    await asyncio.sleep(JOIN_S)
    begun = await scene.begin(*in_step)
    check_served(await scene.take_up(begun, *cut))


@case
async def one_box_cut_off_from_the_store(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:1], scene.hubs[1:]
    scene.part_from_store(*cut)
    begun, _ = await release_beside(scene, cut, in_step)
    await asyncio.sleep(LEARNED_S)
    check_served(await scene.take_up(begun, *cut))


@case
async def two_boxes_cut_off_from_the_store(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:2], scene.hubs[2:]
    scene.part_from_store(*cut)
    begun, _ = await release_beside(scene, cut, in_step)
    await asyncio.sleep(LEARNED_S)
    check_served(await scene.take_up(begun, *cut))


@case
async def all_boxes_but_one_cut_off_from_the_store(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:3], scene.hubs[3:]
    scene.part_from_store(*cut)
    await release_beside(scene, cut, in_step)


@case
async def box_that_knows_no_other(scene):
    await scene.start('d1', 'd1', 'd1')
    cut, in_step = scene.hubs[:1], scene.hubs[1:]
    scene.part(*cut)
    scene.part_from_store(*cut)
    cut[0].peering.peers.clear()
    await release_beside(scene, cut, in_step)


@case
async def box_that_knows_no_other_without_a_release(scene):
    await scene.start('d1')
    begun = await scene.begin(*scene.hubs)
    await scene.start_box('d1')
    streams.watch(scene.hubs)
    scene.hubs[1].peering.peers.clear()
    check_served(await scene.take_up(begun, scene.hubs[1]))


@case
async def boxes_that_read_through_one_that_is_behind(scene):
    await scene.start(*['d1'] * 5)
    readers = {hub.peering.get_reader_name() for hub in scene.hubs} - {''}
    behind = [h for h in scene.hubs if h.deployment.box in readers]
    others = [h for h in scene.hubs if h.deployment.box not in readers]
    assert behind
    cut, in_step = [*behind, others[0]], others[1:]
    scene.part(*cut)
    scene.part_from_store(*behind)
    scene.part_from_store(others[0])
    await release_beside(scene, cut, in_step)


@case
async def cut_that_heals(scene):
    await scene.start('d1', 'd1', 'd1', 'd1')
    cut, in_step = scene.hubs[:2], scene.hubs[2:]
    await heal_after_release(scene, cut, in_step)


@case
async def cut_of_a_domain_that_heals(scene):
    await scene.start('d1', 'd1', 'd2', 'd2', 'd3', 'd3')
    cut, in_step = scene.hubs[:2], scene.hubs[2:]
    await heal_after_release(scene, cut, in_step)


@case
async def version_that_has_left_as_a_box_reads_again(scene):
    await scene.start('d1', 'd1', 'd2', 'd2', 'd3', 'd3')
    await leave_beside_cut(scene, scene.hubs[0], scene.hubs[1:])


@case
async def version_that_has_left_as_a_log_was_cut(scene):
    await scene.start('d1', 'd1', 'd2', 'd2', 'd3', 'd3')
    await site.wait_until(
        lambda: OLD.encode() in streams.find_summary(scene.deployment)
    )
    topic = scene.deployment.store.topic(names.TARGETS_TOPIC)
    await leave_beside_cut(scene, scene.hubs[0], scene.hubs[1:], topic.forget)


async def leave_beside_cut(scene, cut, in_step, lose=lambda: None):
    """Have a version join and leave while a box can't read the store.

    It is cut off from the others as it can read again.
    """
    scene.part_from_store(cut)
    await asyncio.sleep(JOIN_S)
    await scene.join(*in_step)
    begun = await scene.begin(*in_step)
    scene.remove(NEW)
    await site.wait_until(
        lambda: NEW.encode() in streams.find_summary(scene.deployment)
    )
    lose()
    await asyncio.sleep(LEARNED_S)
    asked_at = cut.clock()
    scene.heal()
    history = cut.view.software_history
    await site.wait_until(lambda: history.is_proved_since(asked_at), 8.0)
    scene.part(cut)
    found = await scene.take_up(begun, cut)
    assert not find_wrong(found), found


@case
async def store_away_from_all_boxes(scene):
    await scene.start('d1', 'd1', 'd2', 'd2', 'd3', 'd3')
    teller, *others = scene.hubs
    begun = await scene.begin(teller)
    await scene.leave_store()
    await asyncio.sleep(NOTICED_S)
    begun += await scene.begin(teller)
    check_served(await scene.take_up(begun, *others))


async def heal_after_release(scene, cut, in_step):
    """Take streams up that began beside a cut: at its end, and after it."""
    scene.part(*cut)
    scene.part_from_store(*cut)
    await asyncio.sleep(JOIN_S)
    await scene.join(*in_step)
    begun = await scene.begin(*in_step)
    await asyncio.sleep(CUT_S)
    scene.heal()
    found = await scene.take_up(begun, *cut)
    assert not find_wrong(found), found
    await asyncio.sleep(HEALED_S)
    check_served(await scene.take_up(begun, *cut))


def run_case(play, run=site.run):
    """Play a case."""

    async def check(deployment):
        scene = Scene(deployment)
        try:
            await play(scene)
        finally:
            await scene.close()

    run(check, plain=0, engines=2)


@pytest.mark.parametrize('name', CASES)
def test_a_stream_is_not_taken_up_at_another_version_beside_a_cut(name):
    # Guards against versions that boxes out of step took as implied.
    run_case(CASES[name])


@pytest.mark.parametrize('seconds', [1.0, 3.0, 8.0])
def test_a_stream_is_not_taken_up_at_another_version_after_a_standstill(
    suspend, seconds
):
    async def play(scene):
        await scene.start('d1', 'd1', 'd1')
        still, in_step = scene.hubs[:1], scene.hubs[1:]
        scene.part(*still)
        scene.part_from_store(*still)
        await scene.join(*in_step)
        begun = await scene.begin(*in_step)
        still[0].peering.peers.clear()
        suspend(seconds)
        found = await scene.take_up(begun, *still)
        assert not find_wrong(found), found

    run_case(play, site.run_on_boot_clock)
