"""Boxes with ways of their own to each other and to the store, for tests."""

import asyncio
import collections
import functools

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
# Seconds for which something that answers nobody is waited for.
SILENCE_S = 60.0
# Time that callers leave for a stream, milliseconds.
DEADLINE_MS = 30_000
ROUTES = {
    name: {**row, 'timeout_ms': DEADLINE_MS}
    for name, row in streams.ROUTES.items()
}


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
