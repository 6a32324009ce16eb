"""Claims on idempotency keys, folded from the log."""

import asyncio

import pytest

from landingspool.callers import parsing
from landingspool.decisions import claims
from landingspool.ledger import claimer
from landingspool.ledger import outcomes as log_outcomes


def make_claim(key, number=1, box='b1', minted=100.0, action='claim'):
    """Return a claim on a key."""
    return claims.Claim(key, f'{box}.{number}', box, minted, action)


def fold(ledger, *batches):
    """Fold batches in order and return the outcomes of all claims."""
    outcomes = []
    for batch in batches:
        offset = ledger.offset + 1
        data = claims.encode_batch(batch)
        outcomes += [what for _, what in ledger.fold(offset, data)]
    return outcomes


def test_first_claim_in_log_order_wins():
    ledger = claims.Ledger(60.0)
    first, second = make_claim('k', box='b1'), make_claim('k', box='b2')
    assert fold(ledger, [first], [second]) == ['won', 'lost']
    assert ledger.find('k').box == 'b1'


def test_claim_that_was_appended_twice_is_won_twice():
    ledger = claims.Ledger(60.0)
    claim = make_claim('k')
    assert fold(ledger, [claim], [claim]) == ['won', 'won']


def test_release_by_its_owner_frees_the_key():
    ledger = claims.Ledger(60.0)
    claim = make_claim('k')
    release = claim._replace(action='release')
    other = make_claim('k', box='b2')
    assert fold(ledger, [claim], [release], [other]) == ['won', 'won', 'won']


def test_release_of_a_lost_claim_frees_nothing():
    ledger = claims.Ledger(60.0)
    winner, loser = make_claim('k', box='b1'), make_claim('k', box='b2')
    release = loser._replace(action='release')
    fold(ledger, [winner], [loser], [release])
    assert ledger.find('k').box == 'b1'


def test_claim_older_than_the_window_is_refused_by_all_alike():
    ledger = claims.Ledger(60.0)
    young, old = make_claim('a', minted=200.0), make_claim('b', minted=100.0)
    assert fold(ledger, [young], [old]) == ['won', 'old']


def test_claim_is_known_for_longer_than_any_retry_is_taken():
    window = 60.0
    ledger = claims.Ledger(window)
    fold(ledger, [make_claim('k', minted=100.0)])
    # The last retry arrives half a window after the key was made.  By then
    # another box may have claimed keys dated half a window ahead.
    fold(ledger, [make_claim('new', minted=100.0 + window)])
    assert ledger.find('k') is not None


def test_ledger_forgets_what_is_long_over():
    ledger = claims.Ledger(60.0)
    fold(ledger, [make_claim('k', minted=100.0)])
    fold(ledger, [make_claim('new', minted=300.0)])
    assert ledger.find('k') is None
    assert len(ledger) == 1


@pytest.mark.parametrize('data', (b'', b'{}', b'[[1]]', b'\xff'))
def test_bad_batch_is_passed_over(data):
    ledger = claims.Ledger(60.0)
    assert ledger.fold(0, data) == []
    assert ledger.offset == 0


KEYS = (
    ('1700000000-a', True),
    ('1700000000-', False),
    ('-a', False),
    ('1700000000', False),
    ('x1700000000-a', False),
    ('1' * 20 + '-a', False),
    ('\u0661-a', False),
    ('1700000000-a\nb', False),
    ('1700000000-' + 'a' * 300, False),
    ('box:b1.i1:7', True),
    ('box:b1', False),
)


@pytest.mark.parametrize('text, good', KEYS)
def test_idempotency_keys(text, good):
    assert (parsing.read_key(text) is not None) is good


def test_keys_of_two_workspaces_never_meet():
    key = parsing.read_key('1700000000-a')
    assert parsing.make_claim_key('a', key) != parsing.make_claim_key('b', key)


class LateLog:
    """A log that carries out its first append only after the second."""

    def __init__(self):
        self.entries = []
        self._late = None

    async def append(self, stream, data):
        if self._late is None:
            self._late = data
            return log_outcomes.Lost('no answer in time')
        self.entries.append(data)
        if self._late:
            self.entries.append(self._late)
            self._late = b''
        return log_outcomes.Appended(len(self.entries) - 1)

    async def read(self, stream, after):
        rows = list(enumerate(self.entries))
        return log_outcomes.Page(0, len(rows), tuple(rows[after + 1 :]))


class Silence:
    """A recorder that keeps nothing."""

    def record(self, event, **fields):
        """Keep nothing."""


def test_claim_that_arrives_after_its_release_does_not_hold_the_key(
    monkeypatch,
):
    monkeypatch.setattr(claimer, 'SETTLE_TIMEOUT_S', 0.1)
    monkeypatch.setattr(claimer, 'IDLE_POLL_S', 0.02)

    async def check():
        box = claimer.Claimer(LateLog(), 'b1.i1', 60.0, Silence(), lambda: 1)
        running = asyncio.ensure_future(box.run())
        await asyncio.sleep(0.05)
        outcome = await box.claim('k', 100.0)
        await asyncio.sleep(0.3)
        running.cancel()
        return outcome, box.ledger.offset, box.ledger.find('k')

    outcome, offset, holder = asyncio.run(check())
    assert isinstance(outcome, claimer.Unsettled)
    assert offset >= 1
    assert holder is None
