"""A workspace's limit over several failure domains."""

import random

import hypothesis
from hypothesis import strategies

from landingspool.decisions import limiter

DOMAINS = ('a', 'b', 'c')
LIMIT = 9


def make_limiters():
    """Give a limiter in each domain."""
    return {
        name: limiter.Limiter(name, f'{name}-1', random.Random(name))
        for name in DOMAINS
    }


def tick(limiters, name, now):
    """Give what one limiter asks of the others."""
    return limiters[name].tick(lambda workspace: LIMIT, DOMAINS, now)


def reserve(owned, request, now):
    """Try to take a place; tells if it was given."""
    reply = owned.reserve(request, 'box', 'w', LIMIT, DOMAINS, now)
    return reply.admitted


def sum_allotments(limiters, now):
    """Give the places that all domains may use together."""
    return sum(
        owned.get_allotment('w', LIMIT, DOMAINS, now)
        for owned in limiters.values()
    )


def exchange(limiters, now):
    """Deliver all asks and answers at once."""
    for name in DOMAINS:
        for domain, borrow in tick(limiters, name, now):
            lend = limiters[domain].lend(borrow, LIMIT, DOMAINS, now)
            if lend is not None:
                limiters[name].accept_loan(lend, now)


def test_domain_uses_its_floor_and_no_more():
    limiters = make_limiters()
    given = [reserve(limiters['a'], f'r{i}', 0.0) for i in range(5)]
    assert given == [True, True, True, False, False]


def test_busy_domain_borrows_idle_places():
    limiters = make_limiters()
    now, count = 0.0, 0
    for step in range(40):
        now = step * 0.3
        count += reserve(limiters['a'], f'r{step}', now)
        exchange(limiters, now)
    assert 6 <= limiters['a'].count_used('w') <= LIMIT


def test_lender_takes_its_places_back_after_the_term():
    limiters = make_limiters()
    for index in range(5):
        reserve(limiters['a'], f'r{index}', 0.0)
    exchange(limiters, 0.3)
    assert limiters['b'].get_allotment('w', LIMIT, DOMAINS, 0.4) < 3
    later = 0.3 + limiter.TERM_S + limiter.LENDER_MARGIN_S + 0.1
    assert limiters['b'].get_allotment('w', LIMIT, DOMAINS, later) == 3


def test_answer_to_an_old_ask_is_used_for_the_old_ask_s_term():
    limiters = make_limiters()
    for index in range(5):
        reserve(limiters['a'], f'r{index}', 0.0)
    asks = dict(tick(limiters, 'a', 0.3))
    lend = limiters['b'].lend(asks['b'], LIMIT, DOMAINS, 0.3)
    reserve(limiters['a'], 'more', 8.0)
    tick(limiters, 'a', 8.0)
    limiters['a'].accept_loan(lend, 8.1)
    free = 0.3 + limiter.TERM_S + limiter.LENDER_MARGIN_S + 0.1
    assert sum_allotments(limiters, free) <= LIMIT


def test_answer_to_an_earlier_start_is_not_used():
    limiters = make_limiters()
    for index in range(5):
        reserve(limiters['a'], f'r{index}', 100.0)
    asks = dict(tick(limiters, 'a', 100.3))
    lend = limiters['b'].lend(asks['b'], LIMIT, DOMAINS, 5.0)
    fresh = limiter.Limiter('a', 'a-1', random.Random(2))
    fresh.accept_loan(lend, 1.0)
    assert fresh.get_allotment('w', LIMIT, DOMAINS, 1.0) == 3


# What may happen next: time goes on, a domain wants places or gives one
# back, and messages that are on their way arrive, get lost or come twice.
STEP = strategies.one_of(
    strategies.tuples(strategies.just('wait'), strategies.floats(0.3, 4.0)),
    strategies.tuples(strategies.just('take'), strategies.sampled_from('aab')),
    strategies.tuples(strategies.just('send'), strategies.integers(0, 4)),
    strategies.tuples(
        strategies.sampled_from(('free', 'lose', 'copy')),
        strategies.integers(0, 4),
    ),
)


class Story:
    """Three limiters and the messages between them."""

    def __init__(self):
        self.limiters = make_limiters()
        self.now = 0.0
        self.flying = []
        self.held = {name: [] for name in DOMAINS}
        self.count = 0

    def wait(self, seconds):
        """Let time go on; the limiters tick."""
        self.now += seconds
        for name in DOMAINS:
            for domain, borrow in tick(self.limiters, name, self.now):
                self.flying.append((domain, borrow))

    def take(self, name):
        """Ask for places in a domain, as many as a busy one would."""
        for _ in range(4):
            self.count += 1
            request = f'r{self.count}'
            if reserve(self.limiters[name], request, self.now):
                self.held[name].append(request)

    def free(self, index):
        """Give a place back."""
        name = DOMAINS[index % len(DOMAINS)]
        if self.held[name]:
            self.limiters[name].release(self.held[name].pop(0), 'w')

    def send(self, index):
        """Deliver one of the messages under way."""
        if not self.flying:
            return
        to, message = self.flying.pop(index % len(self.flying))
        owned = self.limiters[to]
        if hasattr(message, 'term'):
            owned.accept_loan(message, self.now)
            return
        lend = owned.lend(message, LIMIT, DOMAINS, self.now)
        if lend is not None:
            self.flying.append((message.domain, lend))

    def lose(self, index):
        """Lose one of the messages under way."""
        if self.flying:
            self.flying.pop(index % len(self.flying))

    def copy(self, index):
        """Let one of the messages under way come twice."""
        if self.flying:
            self.flying.append(self.flying[index % len(self.flying)])


@hypothesis.settings(
    max_examples=500, derandomize=True, deadline=None, database=None
)
@hypothesis.given(strategies.lists(STEP, min_size=10, max_size=40))
def test_allotments_never_add_up_to_more_than_the_limit(steps):
    story = Story()
    for name, value in steps:
        getattr(story, name)(value)
        assert sum_allotments(story.limiters, story.now) <= LIMIT
