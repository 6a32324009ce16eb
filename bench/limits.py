"""A workspace's limit over three domains, with and without a cut.

``python -m bench.limits`` drives the limiters of three domains with
requests from a seed and prints the most that were in flight at once, so
the overshoot that a cut can bring is a measured figure.
"""

import random
import sys
import typing

from landingspool.decisions import limiter

DOMAINS = ('a', 'b', 'c')
LIMIT = 30
SECONDS = 120.0
STEP_S = 0.05
DELAY_S = 0.002
RENEW_S = 5.0


class Load(typing.NamedTuple):
    """What the domains ask for: requests a second, and how long each runs."""

    name: str
    rates: tuple
    hold_s: float
    cut: tuple


LOADS = (
    Load('even, no cut', (6.0, 6.0, 6.0), 2.0, ()),
    Load('one busy domain, no cut', (30.0, 1.0, 1.0), 2.0, ()),
    Load('one busy domain, cut 40-80 s', (30.0, 1.0, 1.0), 2.0, (40, 80)),
    Load('busy side moves in the cut', (30.0, 30.0, 30.0), 2.0, (40, 80)),
    Load('the same, runs of 20 s', (30.0, 30.0, 30.0), 20.0, (40, 80)),
)


class Run:
    """The limiters of three domains and what is in flight."""

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.limiters = {
            name: limiter.Limiter(name, f'{name}-1', random.Random(name))
            for name in DOMAINS
        }
        self.running = {name: {} for name in DOMAINS}
        self.flying = []
        self.most = 0
        self.refused = 0
        self.taken = 0
        self.count = 0

    def step(self, now):
        """Let one step of time go by."""
        self.deliver(now)
        for name, rate in zip(DOMAINS, self.load.rates):
            busy = rate
            if 'moves' in self.load.name or '20 s' in self.load.name:
                # The demand is at one domain before the cut and at all
                # of them in it.
                busy = rate if name == 'a' or now >= 40 else 1.0
            self.end_requests(name, now)
            while self.rng.random() < busy * STEP_S:
                self.ask(name, now)
                busy -= 1 / STEP_S
            for domain, borrow in self.limiters[name].tick(
                lambda workspace: LIMIT, DOMAINS, now
            ):
                self.send(name, domain, borrow, now)
        total = sum(len(rows) for rows in self.running.values())
        self.most = max(self.most, total)

    def ask(self, name, now):
        """Let a request ask for a place."""
        self.count += 1
        request = f'r{self.count}'
        reply = self.limiters[name].reserve(
            request, 'box', 'w', LIMIT, DOMAINS, now
        )
        if reply.admitted:
            self.taken += 1
            hold = self.rng.expovariate(1 / self.load.hold_s)
            self.running[name][request] = now + hold
        else:
            self.refused += 1

    def end_requests(self, name, now):
        """End what is over, and renew the rest."""
        rows = self.running[name]
        for request in [r for r, end in rows.items() if end <= now]:
            del rows[request]
            self.limiters[name].release(request, 'w')
        if now % RENEW_S < STEP_S:
            self.limiters[name].renew('box', 'w', tuple(rows), now)

    def send(self, name, domain, message, now):
        """Send a message unless the domains are cut."""
        cut = self.load.cut
        if not cut or not cut[0] <= now < cut[1]:
            self.flying.append((now + DELAY_S, name, domain, message))

    def deliver(self, now):
        """Deliver what has arrived."""
        due = [row for row in self.flying if row[0] <= now]
        self.flying = [row for row in self.flying if row[0] > now]
        for _, name, domain, message in due:
            owned = self.limiters[domain]
            if hasattr(message, 'term'):
                owned.accept_loan(message, now)
                continue
            lend = owned.lend(message, LIMIT, DOMAINS, now)
            if lend is not None:
                self.send(domain, name, lend, now)


def measure(load, seed=1):
    """Run a load; returns a Run."""
    run = Run(load, seed)
    for number in range(int(SECONDS / STEP_S)):
        run.step(number * STEP_S)
    return run


def main():
    """Print the table."""
    print(f'{"load":<32}{"limit":>6}{"most":>6}{"taken":>8}{"refused":>9}')
    for load in LOADS:
        run = measure(load)
        print(
            f'{load.name:<32}{LIMIT:>6}{run.most:>6}'
            f'{run.taken:>8}{run.refused:>9}'
        )
    return 0


if __name__ == '__main__':
    sys.exit(main())
