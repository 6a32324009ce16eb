"""An answer that ends early is no whole answer, wherever it ends."""

import itertools
import typing

import pytest

from landingspool.gateway import forwarded_rows
from standins import cuts
from tests.gateway import site
from tests.gateway import test_begun_streams
from tests.gateway import test_forwarder
from tests.gateway import test_unanswered

NUMBERS = itertools.count()
KINDS = 'safe', 'unsafe', 'stream', 'resumed'
PLAIN = KINDS[:2]
REPEATED = 'safe', 'resumed'
# Behaviour of the target that is asked first.
CUT = 'cut'
BOUNDS = {'retry_slack': 1e6}
EVENTS = [1, 2, 3, 4]


class Expected(typing.NamedTuple):
    """What a caller gets: a body or the ids of events."""

    status: int
    whole: bool
    content: bytes | list
    runs: int


def expect(cut, end, kind):
    """Return what is due where the first answer ends early."""
    events = EVENTS[: cut.body.count(b'\n\n')]
    is_whole = cut.is_whole(end)
    if kind not in PLAIN:
        is_whole = is_whole and cut.body.endswith(b'\n\n')
    if is_whole:
        content = cut.body if kind in PLAIN else events
        return Expected(200, True, content, 1)
    if kind in REPEATED:
        content = b'done' if kind in PLAIN else EVENTS
        return Expected(200, True, content, 2)
    if events:
        return Expected(200, False, events, 1)
    return Expected(502, True, [], 1)


class Direct:
    """A box that reaches the targets itself."""

    # Executions of an answer that ends early.
    runs = 1
    rows = ()

    def __init__(self, deployment):
        self.deployment = deployment

    async def start(self):
        """Start the boxes; those that send to targets are `senders`."""
        self.hub = await self.deployment.start_box(**BOUNDS)
        self.senders = [self.hub]

    def list_cuts(self, framing, kind, name):
        """List the ends of an answer to a request."""
        parts = [b'do', b'ne']
        if kind not in PLAIN:
            parts = cuts.split_events(self.deployment.engines[0])
        return cuts.list_cuts(framing, name, parts, self.rows)

    async def ask(self, cut, end, kind, name):
        """Ask while the answer that comes first ends early."""
        cuts.register(CUT, cut.data, end)
        script = [CUT]
        for target in self.deployment.plain + self.deployment.engines:
            target.script = script
        return await self.send(kind, name)

    async def send(self, kind, name):
        # No part is shared, so that no other request suspects it of a crash.
        prompt = (
            ('x-landingspool-model-name', 'm'),
            ('x-landingspool-token-usage', '300,10'),
            ('x-landingspool-prefix-hash', f'{name}aa:200,{name}bb:100'),
        )
        path = f'/{kind}/{name}'
        return await site.ask(self.hub, path, headers=prompt, name=name)

    def forget(self):
        """Forget what earlier requests have shown of the targets."""
        for target in self.deployment.plain + self.deployment.engines:
            target.ran.clear()
        for hub in self.senders:
            hub.view._health.clear()

    def is_noticed(self):
        """Return whether a target counts as failing."""
        healths = [
            h for hub in self.senders for h in hub.view._health.values()
        ]
        return any(health.failing for health in healths)


class Hop(Direct):
    """A box that reaches the targets through other boxes only."""

    async def start(self):
        self.hub, self.senders = await test_forwarder.start_cut_box(
            self.deployment, **BOUNDS
        )


class Box(Hop):
    """The same, where another box ends its answer early."""

    runs = 0
    rows = (b': '.join(forwarded_rows.write_software('v1')).decode('latin-1'),)

    async def ask(self, cut, end, kind, name):
        async def answer(reader, writer):
            writer.write(cut.data)
            await cuts.end_connection(writer, end)

        peer = self.senders[0].deployment.box
        known = self.hub.peering.peers[peer]
        async with test_forwarder.fake_peer(self.hub, peer, answer):
            got = await self.send(kind, name)
        self.hub.peering.peers[peer] = known
        return got

    def is_noticed(self):
        return True


def get_content(got, kind):
    """Return the body of an answer, or the ids of its events."""
    if got.status != 200:
        return []
    if kind in PLAIN:
        return got.body
    return test_begun_streams.list_events(got)


PATHS = (
    *itertools.product([Direct], cuts.FRAMINGS),
    *itertools.product([Hop, Box], ['length last', 'chunks', 'no length']),
)


@pytest.mark.parametrize('end', cuts.ENDS)
@pytest.mark.parametrize(('path', 'framing'), PATHS)
def test_what_ends_early_is_answered_as_no_whole_answer(path, framing, end):
    async def check(deployment):
        way = path(deployment)
        await way.start()
        for target in deployment.engines:
            target.usual = 'stream'
        for kind in KINDS:
            places = len(way.list_cuts(framing, kind, ''))
            for place in range(places):
                name = f'{next(NUMBERS):08x}'
                cut = way.list_cuts(framing, kind, name)[place]
                way.forget()
                got = await way.ask(cut, end, kind, name)
                due = expect(cut, end, kind)
                found = Expected(
                    got.status,
                    got.whole,
                    get_content(got, kind),
                    test_forwarder.count_runs(deployment) + 1 - way.runs,
                )
                where = f'{kind}, {cut.place}, {place} of {places}'
                assert found == due, where
                stamped = 'x-landingspool-response-stamp' in got.headers
                assert stamped == (got.status == 200), where
                if due.runs == 2 or due.status != 200 or not due.whole:
                    assert way.is_noticed(), where

    site.run(check)


BROKEN_OFF = (
    ('safe', 'long answer broken off'),
    ('unsafe', 'long answer broken off'),
    ('stream', 'broken stream'),
    ('stream', 'half event'),
)


@pytest.mark.parametrize(('kind', 'behaviour'), BROKEN_OFF)
def test_a_caller_of_http_1_0_takes_no_broken_answer_for_whole(
    kind, behaviour
):
    async def check(deployment):
        hub = await deployment.start_box()
        for target in deployment.plain + deployment.engines:
            target.script = [behaviour]
        request = test_unanswered.write_request(
            f'/{kind}/a', extra=test_unanswered.PROMPT
        ).replace(b'HTTP/1.1', b'HTTP/1.0', 1)
        async with site.connect(hub) as (reader, writer):
            writer.write(request)
            with pytest.raises(ConnectionResetError):
                await reader.read()

    site.run(check)
