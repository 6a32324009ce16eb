"""What a box can tell of streams that it has not relayed."""

import random

import pytest

from landingspool.boxes import datagrams
from landingspool.decisions.gateway import continuations
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import software_history
from landingspool.decisions.gateway import stream_bindings
from landingspool.decisions.gateway import stream_owners
from landingspool.decisions.gateway import stream_records

SHARES = (routes.Share('s', 1.0),)
ROUTE = routes.Route(
    'r', 'h', '/a/', routes.STREAM, 9, 1, 0, SHARES, resumable=True
)
LONG_S = software_history.RETENTION_S
ONE, TWO = (stream_bindings.Binding('s', version) for version in ('v1', 'v2'))


@pytest.fixture
def history():
    """Return the history of a box that has watched one version for long."""
    made = software_history.SoftwareHistory()
    made.confirm_list(0.0)
    made.record('s', 'v1', 0.0)
    read_list(made, LONG_S)
    return made


def read_list(history, until, version='v1'):
    """Have a box read the list of targets for some time."""
    start = int(max(history._confirmed, until - LONG_S - 1))
    for at in range(start, int(until) + 1):
        history.confirm_list(float(at))
        history.record('s', version, float(at))


def put_table(history, shares, now):
    """Publish a table with the one route."""
    table = routes.make_table(
        1, [ROUTE._replace(shares=shares)], [], {}, routes.Limits(), False
    )
    history.put_table(table, now)


def test_one_version_for_long_implies_the_binding(history):
    assert history.find_only(ROUTE, LONG_S) == ONE


def test_a_second_version_counts_until_its_streams_have_ended(history):
    history.record('s', 'v2', LONG_S)
    assert history.find_only(ROUTE, LONG_S) is None
    read_list(history, LONG_S * 2 - 1)
    assert history.find_only(ROUTE, LONG_S * 2 - 1) is None
    read_list(history, LONG_S * 2)
    assert history.find_only(ROUTE, LONG_S * 2) == ONE


def test_an_old_list_implies_nothing_and_begins_the_watch_anew(history):
    late = LONG_S + software_history.LIST_TIMEOUT_S
    assert history.find_only(ROUTE, late) is None
    history.confirm_list(late + 1.0)
    assert history.find_only(ROUTE, late + 1.0) is None
    read_list(history, late + 1.0 + LONG_S)
    assert history.find_only(ROUTE, late + 1.0 + LONG_S) == ONE


def test_a_started_box_implies_nothing_unless_the_system_starts():
    for first, expected in ((False, None), (True, ONE)):
        made = software_history.SoftwareHistory()
        made.confirm_list(5.0, is_first_start=first)
        made.record('s', 'v1', 5.0)
        assert made.find_only(ROUTE, 6.0) == expected


def test_a_box_of_the_first_start_that_was_cut_off_begins_its_watch_anew():
    made = software_history.SoftwareHistory()
    made.confirm_list(5.0, is_first_start=True)
    made.record('s', 'v1', 5.0)
    back = 5.0 + software_history.LIST_TIMEOUT_S + 1.0
    made.confirm_list(back, is_first_start=True)
    assert made.find_only(ROUTE, back) is None


def test_a_route_that_has_moved_implies_nothing(history):
    put_table(history, (routes.Share('other', 1.0),), 1.0)
    put_table(history, SHARES, LONG_S - 1.0)
    assert history.find_only(ROUTE, LONG_S) is None


def test_a_route_that_was_gone_meanwhile_implies_nothing(history):
    put_table(history, SHARES, 1.0)
    gone = routes.make_table(2, [], [], {}, routes.Limits(), False)
    history.put_table(gone, LONG_S - 2.0)
    put_table(history, SHARES, LONG_S - 1.0)
    assert history.find_only(ROUTE, LONG_S) is None


def test_a_summary_is_adopted_only_after_the_list_was_read(history):
    summary = history.summarize(LONG_S)
    started = software_history.SoftwareHistory()
    assert not started.adopt(summary, LONG_S, LONG_S)
    started.confirm_list(LONG_S)
    assert started.find_only(ROUTE, LONG_S) is None
    assert started.adopt(summary, LONG_S, LONG_S)
    assert started.find_only(ROUTE, LONG_S) == ONE


def test_what_had_left_when_a_box_started_counts_for_as_long(history):
    history.record('s', 'v2', LONG_S)
    started = software_history.SoftwareHistory()
    started.confirm_list(LONG_S)
    started.record('s', 'v2', LONG_S)
    started.adopt(history.summarize(LONG_S), LONG_S, LONG_S)
    assert started.list_bindings(ROUTE, LONG_S) == [ONE, TWO]
    read_list(started, LONG_S * 2 - 1, 'v2')
    assert started.find_only(ROUTE, LONG_S * 2 - 1) is None
    read_list(started, LONG_S * 2, 'v2')
    assert started.find_only(ROUTE, LONG_S * 2) == TWO


def test_a_route_that_had_moved_before_a_start_implies_nothing(history):
    put_table(history, (routes.Share('other', 1.0),), 1.0)
    put_table(history, SHARES, LONG_S)
    started = software_history.SoftwareHistory()
    started.confirm_list(LONG_S)
    started.adopt(history.summarize(LONG_S), LONG_S, LONG_S)
    assert started.find_only(ROUTE, LONG_S) is None


def test_an_owner_that_has_seen_another_version_is_believed():
    own = continuations.Evidence(None, ONE, frozenset((ONE,)))
    other = continuations.Evidence(None, None, frozenset((TWO,)))
    found = continuations.decide(own, [own, other], 2)
    assert found.source == continuations.Source.UNKNOWN


def test_silent_owners_are_counted():
    own = continuations.Evidence(None, None, frozenset((ONE, TWO)))
    assert continuations.decide(own, [own], 4).unanswered == 3


@pytest.mark.parametrize('boxes', [7, 60, 195])
def test_owners_that_were_told_are_asked(boxes):
    rng = random.Random(boxes)
    domains = {f'b{n}': f'd{n % 3}' for n in range(boxes)}
    for number in range(300):
        key = number.to_bytes(16)
        teller = rng.choice(list(domains))
        told = set(pick(key, teller, domains)) | {teller}
        # The box that began the stream is gone, and so is another one.
        gone = {teller, rng.choice(list(domains))}
        left = {name: d for name, d in domains.items() if name not in gone}
        asker = rng.choice(list(left))
        asked = set(pick(key, asker, left)) | {asker}
        assert told & asked
        assert len(told) <= 5


def pick(key, box, domains):
    """Return the owners of a stream as one box picks them."""
    peers = {name: domain for name, domain in domains.items() if name != box}
    return stream_owners.pick_owners(key, domains[box], peers)


def test_all_boxes_own_about_as_many_streams():
    domains = {f'b{n}': f'd{n % 3}' for n in range(60)}
    counts = dict.fromkeys(domains, 0)
    for number in range(3000):
        box = f'b{number % 60}'
        for owner in pick(number.to_bytes(16), box, domains):
            counts[owner] += 1
    assert sum(counts.values()) == 3000 * 4
    assert max(counts.values()) < 2 * min(counts.values())


def test_a_message_fits_into_a_datagram():
    text = 'x' * stream_records.MAX_TEXT_CHARS
    record = stream_records.StreamRecord(
        b'k' * stream_bindings.KEY_BYTES, text, text, 60_000, 60_000
    )
    rows = [record] * (stream_records.MAX_RECORDS + 1)
    messages = stream_records.split_records('b' * 64, rows)
    assert [len(m.records) for m in messages] == [12, 1]
    for message in messages:
        data = datagrams.encode(message)
        assert len(data) <= datagrams.MAX_DATAGRAM_BYTES
        assert datagrams.decode(data) == message


@pytest.mark.parametrize(
    'fields',
    [
        {'key': b'short'},
        {'service': 'x' * 257},
        {'software': 7},
        {'left_ms': -1},
    ],
)
def test_malformed_records_are_dropped(fields):
    record = stream_records.StreamRecord(bytes(16), 's', 'v1', 0, 9)
    message = stream_records.StreamRecords('b', (record._replace(**fields),))
    assert datagrams.decode(datagrams.encode(message)) is None


def test_the_table_of_streams_is_bounded():
    known = stream_bindings.Bindings()
    for number in range(stream_bindings.MAX_KNOWN + 10):
        known.put(number.to_bytes(16), ONE, 0.0, 1e9)
    assert len(known.list_live(1.0)) == stream_bindings.MAX_KNOWN
    assert known.find(bytes(16), 1.0) is None
    known.drop_expired(stream_bindings.MAX_AGE_S)
    assert not known._known


@pytest.mark.parametrize('boxes', [4, 6, 12, 34])
def test_owners_of_one_domain_meet_though_two_boxes_were_not_told(boxes):
    # Guards against streams that nobody knows after a cut of two boxes.
    rng = random.Random(boxes)
    domains = dict.fromkeys((f'b{n}' for n in range(boxes)), 'd')
    for number in range(300):
        key = number.to_bytes(16)
        teller, *cut = rng.sample(list(domains), 3)
        told = {teller, *pick(key, teller, domains)} - set(cut)
        assert told & set(pick(key, cut[0], domains))
