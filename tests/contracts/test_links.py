"""Tests the links between boxes: handshake, invalid messages, full queues."""

import asyncio

import cbor2
import pytest
from websockets.asyncio import client as ws_client

from landingspool.boxes import handshake
from landingspool.boxes import link
from landingspool.decisions import messages
from landingspool import events
from landingspool import http
from landingspool import metrics

SECRET = 'the-secret-of-the-tests'


class Side:
    """The links of one box and the messages that they delivered."""

    def __init__(self, name, secret=SECRET):
        self.taken = asyncio.Queue()
        self.peers = {}
        self.recorder = events.Recorder(name)
        identity = link.Identity(name, 'd', 'i1', secret)
        self.links = link.Links(
            identity,
            self.peers.get,
            lambda sender, message: self.taken.put_nowait((sender, message)),
            self.recorder,
            metrics.Metrics(),
            16,
        )

    async def start(self):
        """Start listening; returns the address."""
        return http.Address(*await self.links.start('127.0.0.1', 0))

    def count(self, name):
        """Return the number of events of one name."""
        return self.recorder.counts[name]


async def wait_for(check):
    """Wait until a condition holds, at most 10 s."""
    async with asyncio.timeout(10.0):
        while not check():
            await asyncio.sleep(0.01)


def test_message_arrives_as_it_was_sent():
    async def run():
        one, other = Side('one'), Side('other')
        one.peers['other'] = await other.start()
        message = messages.Refuse('r1', 'full', 2.0)
        one.links.send('other', message)
        sender, taken = await other.taken.get()
        await one.links.close()
        await other.links.close()
        return sender, taken == message

    assert asyncio.run(run()) == ('one', True)


@pytest.mark.parametrize('later_s', [0.0, 0.01, 0.1, 0.3])
def test_no_message_is_lost_as_its_link_closes_at_rest(monkeypatch, later_s):
    monkeypatch.setattr(link, 'IDLE_S', 0.2)

    async def run():
        one, other = Side('one'), Side('other')
        one.peers['other'] = await other.start()
        for number in range(3):
            message = messages.Refuse(f'r{number}', 'full', 2.0)
            one.links.send('other', message)
            async with asyncio.timeout(2.0):
                assert (await other.taken.get())[1] == message
            await asyncio.sleep(link.IDLE_S + later_s)
        await one.links.close()
        await other.links.close()

    asyncio.run(run())


def test_wrong_secret_is_refused_on_both_sides():
    async def run():
        one, other = Side('one', 'another-secret-here'), Side('other')
        one.peers['other'] = await other.start()
        one.links.send('other', messages.Refuse('r1', 'full', 2.0))
        await wait_for(lambda: other.count('link_refused'))
        await one.links.close()
        await other.links.close()
        return other.taken.qsize()

    assert asyncio.run(run()) == 0


HELLO = ['box', 'd', 'i', b'', b'']
BAD_HELLOS = (
    ('other version', [handshake.VERSION + 1, *HELLO]),
    ('no proof', [handshake.VERSION, *HELLO]),
    ('short', [1, 2]),
    ('not an array', 'hello'),
)


@pytest.mark.parametrize('name, hello', BAD_HELLOS)
def test_bad_hello_is_refused(name, hello):
    nonce = b'n' * 16
    with pytest.raises(handshake.Refused):
        handshake.read_hello(hello, SECRET, nonce)


BAD_FRAMES = (
    [[0, 0], [cbor2.dumps([3, 'r', 7, 1.0])]],
    [[0, 0], [cbor2.dumps([999])]],
    [[0, 0], [cbor2.dumps('x')]],
    [[0, 0], [cbor2.dumps([3, 'r', 'full', 2.0, 'extra', 1])]],
)


def test_bad_messages_are_dropped_and_the_next_one_is_taken():
    async def run():
        other = Side('other')
        address = await other.start()
        uri = f'ws://{address.host}:{address.port}'
        async with ws_client.connect(uri, compression=None) as socket:
            nonce = cbor2.loads(await socket.recv())
            proof = handshake.compute_proof(SECRET, nonce, 'box')
            hello = [handshake.VERSION, 'box', 'd', 'i', b'x' * 16, proof]
            await socket.send(cbor2.dumps(hello))
            await socket.recv()
            for frame in BAD_FRAMES:
                await socket.send(cbor2.dumps(frame))
            good = messages.pack(messages.Refuse('r', 'full', 1.0))
            await socket.send(cbor2.dumps([[0, 0], [cbor2.dumps(good)]]))
            taken = await other.taken.get()
        await other.links.close()
        return taken[1].reason, other.count('bad_message')

    assert asyncio.run(run()) == ('full', len(BAD_FRAMES))


def test_full_queue_drops_what_is_repeated_anyway():
    async def run():
        outbound = link.Outbound('peer', 3)
        vital = messages.Refuse('r', 'full', 1.0)
        probe = messages.Probe(1, ())
        dropped = [outbound.put(m) for m in (vital, probe, vital, vital)]
        return dropped[:3] == [None] * 3, dropped[3] == probe

    assert asyncio.run(run()) == (True, True)


def test_queue_full_of_vital_messages_ends_the_link():
    async def run():
        outbound = link.Outbound('peer', 2)
        for number in range(3):
            outbound.put(messages.Refuse(f'r{number}', 'full', 1.0))
        return outbound.stopped

    assert asyncio.run(run())


def test_a_message_whose_handling_fails_ends_no_link():
    async def run():
        one, other = Side('one'), Side('other')
        one.peers['other'] = await other.start()
        taken = []

        def deliver(sender, message):
            taken.append(message)
            raise ValueError('made by the test')

        other.links._deliver = deliver
        for name in ('r1', 'r2'):
            one.links.send('other', messages.Refuse(name, 'full', 2.0))
        await wait_for(lambda: len(taken) == 2)
        await one.links.close()
        await other.links.close()
        return other.count('fault'), other.count('link_refused')

    assert asyncio.run(run()) == (2, 0)


def test_a_link_that_can_not_be_opened_is_told_of_and_opened_again():
    async def run():
        one, other = Side('one'), Side('other')
        address = await other.start()
        calls = []

        def find_address(box):
            calls.append(box)
            if len(calls) == 1:
                raise ZeroDivisionError('made by the test')
            return address

        one.links._find_address = find_address
        one.links.send('other', messages.Refuse('r1', 'full', 2.0))
        await wait_for(lambda: one.count('fault'))
        await asyncio.sleep(link.RECONNECT_DELAY_S + 0.1)
        one.links.send('other', messages.Refuse('r2', 'full', 2.0))
        _, taken = await other.taken.get()
        await one.links.close()
        await other.links.close()
        return taken.request

    assert asyncio.run(run()) == 'r2'
