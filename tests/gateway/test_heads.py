"""Request heads that two servers may interpret in two ways are refused."""

import asyncio
import re

import pytest

from landingspool.gateway import heads
from landingspool import http
from tests.gateway import site

HOST = 'Host: h.example\r\n'
BAD = (
    ('two lengths', HOST + 'Content-Length: 1\r\nContent-Length: 1\r\n'),
    ('differing lengths', HOST + 'Content-Length: 1\r\nContent-Length: 2\r\n'),
    ('list of lengths', HOST + 'Content-Length: 1, 1\r\n'),
    ('signed length', HOST + 'Content-Length: +1\r\n'),
    (
        'length and chunks',
        HOST + 'Content-Length: 1\r\nTransfer-Encoding: chunked\r\n',
    ),
    (
        'two codings',
        HOST + 'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n',
    ),
    ('unknown coding', HOST + 'Transfer-Encoding: gzip\r\n'),
    ('hidden coding', HOST + 'Transfer-Encoding: x, chunked\r\n'),
    ('bare line feed', HOST + 'A: b\nContent-Length: 1\r\n'),
    ('bare return', HOST + 'A: b\rC: d\r\n'),
    ('folded line', HOST + 'A: b\r\n c\r\n'),
    ('space before colon', HOST + 'Content-Length : 1\r\n'),
    ('two hosts', HOST + HOST),
    ('no host', 'A: b\r\n'),
)


@pytest.mark.parametrize('rows', [r for _, r in BAD], ids=[n for n, _ in BAD])
def test_ambiguous_heads_are_refused(rows):
    data = f'POST /safe/ HTTP/1.1\r\n{rows}\r\n'.encode()
    with pytest.raises(http.BadRequest) as refused:
        heads.parse_head(data)
    assert refused.value.status == 400


GOOD = (
    ('length', HOST + 'Content-Length: 1\r\n'),
    ('chunks', HOST + 'Transfer-Encoding: Chunked\r\n'),
    ('none', HOST),
)


@pytest.mark.parametrize(
    'rows', [r for _, r in GOOD], ids=[n for n, _ in GOOD]
)
def test_plain_heads_are_read(rows):
    data = f'POST /safe/ HTTP/1.1\r\n{rows}\r\n'.encode()
    _, request = heads.parse_head(data)
    assert request.target == b'/safe/'


WIRE = (
    # bytes sent, statuses that come back
    (b'GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: a\r\n\r\n', [400]),
    (b'GET /x HTTP/1.1\r\nHost: h\r\nA: ' + b'a' * 20000 + b'\r\n\r\n', [431]),
    (
        b'POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n\r\n'
        + b'a' * 5000000,
        [413],
    ),
    (b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n' * 2, [404, 404]),
    (
        b'POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'2\r\nab\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n',
        [404, 404],
    ),
)


@pytest.mark.parametrize(('data', 'statuses'), WIRE)
def test_statuses_on_the_wire(data, statuses):
    async def main():
        async with site.Site() as deployment:
            hub = await deployment.start_box()
            async with site.connect(hub) as (reader, writer):
                writer.write(data)
                got = b''
                while got.count(b'HTTP/1.1 ') < len(statuses):
                    part = await asyncio.wait_for(reader.read(65536), 2)
                    if not part:
                        break
                    got += part
                found = re.findall(rb'HTTP/1.1 (\d+)', got)
                assert [int(status) for status in found] == statuses
            assert (await site.ask(hub, '/safe/a')).status == 200

    asyncio.run(main())
