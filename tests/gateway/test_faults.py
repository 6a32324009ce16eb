"""An unexpected error in a box ends only the request that caused it."""

import asyncio
import json

import pytest

from landingspool.gateway import upstream
from tests.gateway import site
from tests.gateway.test_relay import PROMPT

# What raises: the part of the box, its method, and whether the target has
# executed the request by then.
STAGES = (
    ('view', 'count_first', False),
    ('view', 'plan', False),
    ('upstream', 'open', False),
    ('view', 'record_sent', False),
    ('view', 'record_first', True),
    ('metrics', 'record_answer', True),
    ('exchange', 'send', False),
)
# Parts of which a box has several.
PARTS = {'exchange': upstream.Exchange}


def fail(*args, **kwargs):
    """Raise an unexpected error."""
    raise ZeroDivisionError('made by the test')


@pytest.mark.parametrize(('part', 'method', 'ran'), STAGES)
@pytest.mark.parametrize('path', ['/unsafe/a', '/stream/a'])
def test_a_fault_is_answered_at_once(part, method, ran, path, monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        for target in deployment.engines:
            target.usual = 'stream'
        lines = []
        real = hub.recorder.record
        monkeypatch.setattr(
            hub.recorder,
            'record',
            lambda event, **fields: (
                lines.append((event, fields)),
                real(event, **fields),
            ),
        )
        with monkeypatch.context() as broken:
            whole = PARTS.get(part) or getattr(hub, part)
            broken.setattr(whole, method, fail)
            began = hub.clock()
            got = await site.ask(hub, path, headers=PROMPT)
        assert hub.clock() - began < 1.0
        assert got.status == 500 or not got.whole or method == 'record_answer'
        (fields,) = [f for event, f in lines if event == 'request_fault']
        assert fields['request']
        assert 'made by the test' in fields['trace']
        json.dumps(fields)
        targets = deployment.plain + deployment.engines
        assert bool(sum(len(t.ran) for t in targets)) == ran
        assert 'faults_total 1.0' in hub.metrics.render().decode()
        # The box continues to serve, and has no state of the failed request.
        assert (await site.ask(hub, path, headers=PROMPT)).whole
        await site.wait_until(lambda: not hub.view.loads.list_reported())

    site.run(check)


def test_a_connection_is_closed_after_a_fault(monkeypatch):
    async def check(deployment):
        hub = await deployment.start_box()
        monkeypatch.setattr(hub.view, 'plan', fail)
        async with site.connect(hub) as (reader, writer):
            writer.write(
                b'POST /unsafe/a HTTP/1.1\r\nHost: h.example\r\n'
                b'Authorization: Bearer key-of-w1\r\n'
                b'X-Landingspool-Request-Id: q\r\nContent-Length: 0\r\n\r\n'
            )
            head = await reader.readuntil(b'\r\n\r\n')
            assert b'connection: close' in head.lower()
            await asyncio.wait_for(reader.read(), 1.0)

    site.run(check)
