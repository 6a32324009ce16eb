"""Datagrams between boxes are read together, at the ticks of a timer."""

import asyncio
import socket

from landingspool import boot_clock
from landingspool.boxes import datagrams
from landingspool.decisions.gateway import peer_digests
from landingspool.gateway import peering
from landingspool import timer as timer_module
from tests.gateway import site

# More than one reading delivers, and fewer than a socket buffers.
MAX_READ = 64
COUNT = 100


async def open_pair():
    """Return the timer, the received messages, the reasons and an address."""
    timer, messages, reasons = timer_module.Timer(), [], []
    receiver = datagrams.Datagrams(
        timer,
        lambda message, address: messages.append(message),
        reasons.append,
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(('127.0.0.1', 0))
        address = probe.getsockname()
    await receiver.start(address)
    return timer, receiver, messages, reasons, address


def test_a_flood_is_read_in_parts(monkeypatch):
    monkeypatch.setattr(datagrams, 'MAX_READ', MAX_READ)

    async def check():
        timer, receiver, messages, _, address = await open_pair()
        sender = datagrams.Datagrams(timer, print, print)
        await sender.start(('127.0.0.1', 0))
        query = peer_digests.ProofQuery('b', 1)
        sender.send_to_all(query, [address] * COUNT)
        await asyncio.sleep(datagrams.READ_PERIOD_S * 1.5)
        first = len(messages)
        await asyncio.sleep(datagrams.READ_PERIOD_S * 2)
        for each in (sender, receiver):
            each.close()
        timer.close()
        return first, len(messages)

    first, total = boot_clock.run(check())
    assert first in (MAX_READ, COUNT)
    assert total == COUNT


def test_nonsense_and_a_closed_port_are_logged_and_end_nothing():
    async def check():
        timer, receiver, messages, reasons, address = await open_pair()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.sendto(b'nonsense', address)
        # Nobody listens at port 9: the next reading reports it.
        query = peer_digests.ProofQuery('b', 1)
        receiver.send_to_all(query, [('127.0.0.1', 9), address])
        await asyncio.sleep(datagrams.READ_PERIOD_S * 3)
        receiver.close()
        timer.close()
        return messages, reasons

    messages, reasons = boot_clock.run(check())
    assert messages == [peer_digests.ProofQuery('b', 1)]
    assert any('8 bytes' in reason for reason in reasons)


def test_ticks_of_all_subscribers_are_due_together():
    async def check():
        timer, ticks = timer_module.Timer(), []
        timer.subscribe(0.05, lambda tick: ticks.append(tick.now))
        await asyncio.sleep(0.02)
        timer.subscribe(0.1, lambda tick: ticks.append(tick.now))
        await asyncio.sleep(0.2)
        timer.close()
        return ticks

    ticks = boot_clock.run(check())
    together = sum(
        1
        for before, now in zip(ticks, ticks[1:], strict=False)
        if now - before < 0.005
    )
    assert together >= 1


def test_a_request_that_was_sent_is_reported_to_the_group_at_once():
    async def check(deployment):
        hub = await deployment.start_box()
        sent = []
        hub.peering._socket.send_to_all = lambda digest, to: sent.append(
            hub.clock()
        )
        hub.peering.report_sent()
        assert not sent
        hub.view.grouping.subsets.list_services = lambda: ('s',)
        await asyncio.sleep(peering.MIN_DIGEST_GAP_S * 2)
        began = hub.clock()
        for _ in range(3):
            hub.peering.report_sent()
        await asyncio.sleep(peering.MIN_DIGEST_GAP_S * 2.5)
        prompt = [at for at in sent if at - began < peering.MIN_DIGEST_GAP_S]
        later = [at for at in sent if at - began >= peering.MIN_DIGEST_GAP_S]
        # One at once, and one for those that followed too soon.
        assert len(prompt) in (1, 2)
        assert 1 <= len(prompt) - 1 + len(later) <= 2

    site.run_on_boot_clock(check, engines=2)


def test_a_subscriber_that_fails_is_told_of_and_called_again():
    async def check():
        errors, ticks = [], []
        timer = timer_module.Timer(
            on_error=lambda name, error: errors.append((name, error))
        )

        def fail(tick):
            ticks.append(tick)
            raise KeyError('unknown event')

        timer.subscribe(0.02, fail)
        await asyncio.sleep(0.1)
        timer.close()
        return errors, ticks

    errors, ticks = boot_clock.run(check())
    assert len(errors) == len(ticks) > 1
