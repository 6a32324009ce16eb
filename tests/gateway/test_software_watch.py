"""The record of software versions in the platform's store."""

import asyncio

from landingspool.decisions.gateway import software_history
from landingspool.decisions.gateway import tail
from landingspool import events
from landingspool.gateway import continuity
from landingspool.gateway import software_watch
from landingspool import http
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool import timer
from tests.gateway import site
from tests.gateway import test_stream_software as streams


# When the store answers again that has failed since 0.0, seconds.
BACK_S = 30.0


def make_record(*versions):
    """Return the record of the versions of one service."""
    summary = software_history.Summary(
        frozenset(('engine', version) for version in versions)
    )
    value = catalogue.write_software(summary)
    return tail.Record(names.SOFTWARE_KEY, value, 0)


def read_all(watch, history, now):
    """Record that list and record were read, and check."""
    history.confirm_list(now)
    watch.record_read(now)
    watch._check(timer.Tick(now))


def test_an_unreadable_record_is_ignored_and_replaced():
    async def check(deployment):
        deployment.store.put(names.CLAIMS_TOPIC, names.SOFTWARE_KEY, b'[]')
        hubs = await streams.start(deployment, 1, ('v1',) * 4)
        assert hubs[0].recorder.counts['malformed']
        assert not hubs[0].recorder.counts['history_adopted']
        streams.watch(hubs)
        await site.wait_until(
            lambda: b'v1' in streams.find_summary(deployment)
        )

    site.run(check, engines=4)


def test_a_box_that_may_have_missed_a_version_writes_no_record():
    async def check(deployment):
        await streams.start(deployment, 2)
        await asyncio.sleep(3 * software_watch.TURN_S)
        assert not streams.find_summary(deployment)

    site.run(check, engines=4)


def test_a_version_that_one_box_has_missed_stays_in_the_record():
    async def check(deployment):
        stored = {'versions': [['engine', 'v1'], ['engine', 'v9']]}
        deployment.store.put(names.CLAIMS_TOPIC, names.SOFTWARE_KEY, stored)
        hubs = await streams.start(deployment, 1)
        await site.wait_until(
            lambda: b'v2' in streams.find_summary(deployment)
        )
        assert b'v9' in streams.find_summary(deployment)
        history = hubs[0].view.software_history
        assert 'v9' in history.list_recent('engine', hubs[0].clock())

    site.run(check, engines=4)


def test_owners_that_do_not_answer_delay_a_caller_little():
    async def check(deployment):
        hubs = await streams.start(deployment, 3)
        reads = []

        async def serve(reader, writer):
            reads.append(await reader.read(1))
            await asyncio.sleep(9)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        silent = http.Address(*server.sockets[0].getsockname())
        peers = hubs[0].peering.peers
        for name in list(peers):
            peers[name] = peers[name]._replace(address=silent)
        began = hubs[0].clock()
        got = await streams.take_up(hubs[0], 'b', 'nobody')
        assert hubs[0].clock() - began < continuity.ASK_TIMEOUT_S + 0.2
        assert got.status == 503
        assert float(got.headers['retry-after']) > 0
        assert len(reads) == 2
        server.close()

    site.run(check, engines=4)


class Parts:
    """What the watch of versions uses of its box.

    Parameters
    ----------
    history : software_history.SoftwareHistory
    """

    def __init__(self, history):
        self.view = self
        self.software_history = history
        self.peering = self
        self.recorder = events.Recorder('box')

    def get_rank(self, subject):
        """Return a rank at which nothing is written in the first minute."""
        return 1000


def test_a_record_read_before_a_cut_does_not_tell_what_came_during_it():
    # Guards against a stream that goes on at another version.
    history = software_history.SoftwareHistory()
    watch = software_watch.SoftwareWatch(Parts(history))
    watch.take(make_record('v1'))
    read_all(watch, history, 0.0)
    assert history.is_witness(0.0)
    history.confirm_list(BACK_S)
    watch._check(timer.Tick(BACK_S))
    assert not history.is_witness(BACK_S)
    watch.take(make_record('v1', 'v2'))
    read_all(watch, history, BACK_S)
    assert history.is_witness(BACK_S)
    assert history.list_recent('engine', BACK_S) == ['v1', 'v2']
