"""Half of the stores are four times slower for five seconds, under load."""

import heapq
import itertools
import random

from landingspool.decisions.gateway import store_health

BOXES = 60
REQUESTS_S = 680
STORES = [f'k{number}' for number in range(8)]
SLOW = set(STORES[:4])
SLOW_FROM_S, SLOW_TO_S, END_S = 10.0, 15.0, 25.0
# Fetches that a sound store serves in a second; a slow one serves a quarter,
# two thirds of what it is asked for.
FETCHES_S = 235.0
READ_S = 0.065
REPORT_S = 0.2
RECIPIENTS = 24
OBJECTIVE_S = 0.5


class Deployment:
    """Boxes that fetch parts from stores which serve one after the other."""

    def __init__(self, seed, learns):
        self.rng = random.Random(seed)
        self.learns = learns
        self.boxes = [store_health.StoreHealth() for _ in range(BOXES)]
        self.free_at = dict.fromkeys(STORES, 0.0)
        self.answers = []
        self.order = itertools.count()
        self.waits = []
        self.fetched = []

    def run(self):
        """Play all requests and reports in the order of their times."""
        now, report_at = 0.0, 0.0
        while now < END_S:
            now += self.rng.expovariate(REQUESTS_S)
            while self.answers and self.answers[0][0] <= now:
                at, _, box, sample = heapq.heappop(self.answers)
                box.record(sample, at)
            if now >= report_at:
                self.report(now)
                report_at = now + REPORT_S
            self.send(now)
        return self

    def send(self, now):
        """Send one request: it fetches its part, or reads it."""
        box, store = self.rng.choice(self.boxes), self.rng.choice(STORES)
        delay_s = box.get_delay(store, BOXES, now) if self.learns else 0.0
        if 1 / FETCHES_S + delay_s > READ_S:
            store, wait_s = '', READ_S
        else:
            slow = store in SLOW and SLOW_FROM_S <= now < SLOW_TO_S
            begin = max(self.free_at[store], now)
            self.free_at[store] = begin + (4 if slow else 1) / FETCHES_S
            wait_s = self.free_at[store] - now
            self.fetched.append((now, store))
        beyond_s = self.rng.expovariate(1 / 0.05)
        self.waits.append((now, wait_s + beyond_s))
        target = f't{self.rng.randrange(36)}'
        expected_s = 1 / FETCHES_S if store else READ_S
        sample = store_health.Sample(
            's', target, store, wait_s + beyond_s - expected_s
        )
        row = now + wait_s + beyond_s, next(self.order), box, sample
        heapq.heappush(self.answers, row)

    def report(self, now):
        """Have each box report to some others."""
        for number, box in enumerate(self.boxes):
            reports = box.list_reported(now)
            for peer in self.rng.sample(self.boxes, RECIPIENTS):
                if reports and peer is not box:
                    peer.take_reports(f'box{number}', reports, now)

    def count_late(self, begin, end):
        """Return the share of the requests that begin too late."""
        waits = [wait_s for at, wait_s in self.waits if begin <= at < end]
        return sum(wait_s > OBJECTIVE_S for wait_s in waits) / len(waits)


def test_few_requests_wait_for_stores_that_turn_slow():
    blind = Deployment(1, False).run()
    known = Deployment(1, True).run()
    whole = SLOW_FROM_S, SLOW_TO_S
    assert blind.count_late(*whole) > 0.25
    assert known.count_late(*whole) < blind.count_late(*whole) / 3
    # Without any slow store nothing is given up.
    assert known.count_late(2.0, SLOW_FROM_S) < 0.001


def test_stores_are_used_again_after_they_recover():
    known = Deployment(2, True).run()
    late = [store for at, store in known.fetched if at > END_S - 3]
    expected = REQUESTS_S * 3 * len(SLOW) / len(STORES)
    assert sum(store in SLOW for store in late) > 0.8 * expected
