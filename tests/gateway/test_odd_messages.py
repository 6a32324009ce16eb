"""Messages and answers of other boxes that no box sends."""

import asyncio

import cbor2
import msgspec
import pytest

from landingspool.boxes import datagrams
from landingspool.decisions.gateway import workspace_usage
from landingspool.gateway import boxcalls
from landingspool.gateway import forwarded_rows
from landingspool.gateway import sources
from landingspool import http
from landingspool.platform import names
from tests.gateway import site
from tests import odd_values

ADDRESS = http.Address('127.0.0.1', 9)

MESSAGES = {
    'not_cbor': b'\xff',
    'empty': b'',
    'deep': b'\x81' * odd_values.DEPTH,
    'number': cbor2.dumps(5),
    'object': cbor2.dumps({}),
    'unknown': cbor2.dumps(['later', 1]),
    'list_as_name': cbor2.dumps([[], 1]),
    'long_number': cbor2.dumps(['ask', 'a', 10**400]),
    'infinite_age': cbor2.dumps(['tell', 'a', 1, 2, float('inf')]),
    'no_number': cbor2.dumps(['tell', 'a', 1, 2, float('nan')]),
    'negative_age': cbor2.dumps(['tell', 'a', 1, 2, -5.0]),
    'long_version': cbor2.dumps(['tell', 'a', 1, 10**400, 1.0]),
    'surrogate': b'\x83\x63ask\x63\xed\xb3\xbf\x01',
    'long_stream_age': cbor2.dumps(
        ['streams', 'b', [[b'k' * 16, 's', 'v', 10**400, 5]]]
    ),
    'long_link': cbor2.dumps(['digest', 'b', 'd', 1, {}, 10**400]),
    'endless_link': cbor2.dumps(['digest', 'b', 'd', 1, {}, float('inf')]),
}


@pytest.mark.parametrize('name', MESSAGES)
def test_an_odd_message_of_a_box_is_none(name):
    assert datagrams.decode(MESSAGES[name]) is None


@pytest.mark.parametrize('name', MESSAGES)
def test_an_odd_answer_of_a_box_is_no_answer(name):
    async def ask():
        client = odd_values.Peer(MESSAGES[name])
        with pytest.raises(boxcalls.NoAnswer):
            await boxcalls.fetch(
                client, ADDRESS, sources.Relayed, ('GET', '/'), timeout=1.0
            )

    asyncio.run(ask())


ODD_RELAYED = (
    {'end': 10**400},
    {'end': -1},
    {'age': float('inf')},
    {'age': float('nan')},
    {'age': -1e300},
    {'records': [['k', b'', 10**400]]},
    {'records': [['k', 5, 1]]},
)


@pytest.mark.parametrize('changes', ODD_RELAYED, ids=str)
def test_odd_records_of_a_box_are_no_answer(changes):
    row = {'records': [], 'end': 3, 'age': 0.5, **changes}

    async def ask():
        client = odd_values.Peer(cbor2.dumps(row))
        with pytest.raises(boxcalls.NoAnswer):
            await boxcalls.fetch(
                client, ADDRESS, sources.Relayed, ('GET', '/'), timeout=1.0
            )

    asyncio.run(ask())


ODD_FIGURES = (float('nan'), float('inf'), -1.0)


@pytest.mark.parametrize('figure', ODD_FIGURES)
def test_a_usage_that_no_box_reports_is_passed_over(figure):
    total = {}
    rows = workspace_usage.ROW.pack(7, figure, 1.0)
    rows += workspace_usage.ROW.pack(8, 1.0, figure)
    workspace_usage.add_rows(total, rows, 1.0, 1.0)
    assert total == {}


ODD_COUNTS = (b'9' * 5000, b'9' * 400, '\xb2'.encode('latin-1'), b'-1', b'')


@pytest.mark.parametrize('count', ODD_COUNTS, ids=lambda count: count[:9])
def test_an_odd_count_of_sends_in_a_report_is_bounded(count):
    rows = [(forwarded_rows.SENDS, count)]
    assert 0 <= forwarded_rows.read_report(rows).sends < 2**31


def test_a_state_with_an_odd_table_proves_nothing():
    async def check(deployment):
        hub = await deployment.start_box()
        state = hub.state.get_snapshot()
        version, proof_s = hub.view.table.version, hub.view.proof.age(0.0)
        odd = msgspec.structs.replace(
            state, table=odd_values.RECORDS['deep'], proof_s=0.0
        )
        hub.state.take(odd, hub.clock() + 1.0)
        assert hub.view.table.version == version
        assert hub.view.proof.age(0.0) == proof_s
        assert hub.recorder.select(key=names.TABLE_KEY)

    site.run(check)


QUERIES = (
    '/records?topic=keyed.op',
    '/records?topic=keyed.op&from=x&hold=1',
    f'/records?topic=keyed.op&from={"9" * 400}&hold=1',
    f'/records?topic=keyed.op&from={"9" * 5000}&hold=1',
    '/records?topic=keyed.op&from=-5&hold=1',
    '/records?topic=keyed.op&from=9&hold=inf',
    '/records?topic=keyed.op&from=9&hold=nan',
    '/records?topic=keyed.op&from=9&hold=-1',
    '/records?topic=keyed.op&from=9',
)
ODD_CALLS = {
    **{query[:60]: ('GET', query, b'') for query in QUERIES},
    **{
        f'{path} {name}': ('POST', path, body)
        for path in ('/changes', '/streams')
        for name, body in MESSAGES.items()
        if name != 'object'
    },
}


def test_a_box_refuses_the_odd_calls_of_another():
    async def check(deployment):
        hub = await deployment.start_box()
        statuses = {}
        for name, (method, path, body) in ODD_CALLS.items():
            reply = await hub.client.fetch(
                hub.deployment.links, method, path, body, timeout=2.0
            )
            statuses[name] = reply.status
        assert set(statuses.values()) == {400}, statuses
        assert not hub.recorder.counts['fault']

    site.run(check)
