"""A workspace's request limit, held exactly inside a failure domain.

The limit is split into a floor for each domain.  A domain that needs more
borrows from another for a term, and the lender counts the lent places as
used until the term has surely ended at the borrower: the borrower's clock
starts when it asks, the lender's when it lends, which is later.  So the
allotments never add up to more than the limit, also in a cut, and with no
third party.  What a cut can do is keep a request running past the term of
the loan that it was admitted under; the overshoot is at most what was lent
at the time of the cut.
"""

import collections
import itertools
import typing

from landingspool.decisions import messages
from landingspool.decisions import retries

TERM_S = 10.0
LENDER_MARGIN_S = 2.0
RENEW_S = 5.0
HOLD_LEASE_S = 15.0
ASK_PERIOD_S = 0.25
ASK_AHEAD = 1
SWEEP = 8
ASKS_KEPT = int(TERM_S / ASK_PERIOD_S) + 1


class Place(typing.NamedTuple):
    """A place in use: who holds it and until when it counts."""

    entry: str
    until: float


class Loan(typing.NamedTuple):
    """Places lent or borrowed, counted until `until`."""

    loan: str
    peer: str
    amount: int
    until: float


class Account:
    """The places of one workspace in one domain."""

    def __init__(self):
        self.used = {}
        self.lent = []
        self.accept_loan = []
        self.wanted = 0
        self.asked = float('-inf')

    def expire(self, now):
        """Drop loans and places whose time is over."""
        self.lent = [loan for loan in self.lent if loan.until > now]
        self.accept_loan = [row for row in self.accept_loan if row.until > now]
        for request in [r for r, p in self.used.items() if p.until <= now]:
            del self.used[request]

    def allot(self, floor):
        """Give the number of places that this domain may use now."""
        lent = sum(loan.amount for loan in self.lent)
        accept_loan = sum(loan.amount for loan in self.accept_loan)
        return floor - lent + accept_loan


def split_limit(limit, domains):
    """Give each domain's floor; they add up to the limit.

    >>> split_limit(10, ('a', 'b', 'c'))
    {'a': 4, 'b': 3, 'c': 3}
    """
    each, over = divmod(limit, len(domains))
    ordered = sorted(domains)
    return {
        name: each + (1 if index < over else 0)
        for index, name in enumerate(ordered)
    }


class Limiter:
    """Admits requests of the workspaces that this box is responsible for.

    Parameters
    ----------
    domain, box : str
    rng : random.Random
        For the spread of Retry-After and for loan ids.
    """

    def __init__(self, domain, box, rng):
        self.domain = domain
        self.box = box
        self._rng = rng
        self._accounts = {}
        self._loans = itertools.count(1)
        self._asks = {}
        self._short = set()
        self._to_sweep = []

    def reserve(self, request, entry, workspace, limit, domains, now):
        """Admit or refuse one request.

        Returns
        -------
        messages.Reserved
        """
        account = self._open(workspace, now)
        if request in account.used:
            return messages.Reserved(request, True, 0.0)
        floor = split_limit(limit, domains)[self.domain]
        if len(account.used) < account.allot(floor):
            account.used[request] = Place(entry, now + HOLD_LEASE_S)
            return messages.Reserved(request, True, 0.0)
        account.wanted += 1
        self._short.add(workspace)
        after = retries.spread_retry_after(ASK_PERIOD_S, self._rng)
        return messages.Reserved(request, False, after)

    def release(self, request, workspace):
        """Take a place back."""
        account = self._accounts.get(workspace)
        if account is not None:
            account.used.pop(request, None)

    def renew(self, entry, workspace, requests, now):
        """Keep the places of a living entry box; also adopts them.

        A limiter that has just begun learns in this way what is in use.
        """
        account = self._open(workspace, now)
        for request in requests:
            account.used[request] = Place(entry, now + HOLD_LEASE_S)

    def resume(self, seconds):
        """Leave out so many seconds in which this process did not run.

        The entry boxes may have renewed their places meanwhile.  Loans count
        on: their terms are kept by both sides.
        """
        for account in self._accounts.values():
            for request, place in account.used.items():
                until = place.until + seconds
                account.used[request] = place._replace(until=until)

    def tick(self, get_limit, domains, now):
        """Give the Borrow messages that are due, as (domain, message).

        Only the accounts that want places or live on borrowed ones are
        looked at; the others expire when they are used, and a part of
        them is swept at each tick.
        """
        self._sweep(now)
        asks = []
        if len(domains) < 2:
            return asks
        for workspace in list(self._short):
            account = self._open(workspace, now)
            limit = get_limit(workspace)
            if limit:
                asks += self._ask(workspace, account, limit, domains, now)
            if not account.wanted and not account.accept_loan:
                self._short.discard(workspace)
        return asks

    def _sweep(self, now):
        if not self._to_sweep:
            self._to_sweep = list(self._accounts)
        for _ in range(min(SWEEP, len(self._to_sweep))):
            workspace = self._to_sweep.pop()
            account = self._accounts.get(workspace)
            if account is None:
                continue
            account.expire(now)
            if not any((account.used, account.lent, account.accept_loan)):
                if not account.wanted:
                    del self._accounts[workspace]

    def lend(self, borrow, limit, domains, now):
        """Answer a Borrow: half of the idle places, or None."""
        account = self._open(borrow.workspace, now)
        floor = split_limit(limit, domains)[self.domain]
        idle = account.allot(floor) - len(account.used)
        own = floor - sum(loan.amount for loan in account.lent)
        # Only own places are lent, never borrowed ones: a chain of loans
        # would outlive the term of its first.
        amount = min(borrow.amount, max(idle + 1, 0) // 2, max(own, 0))
        if amount <= 0:
            return None
        loan = f'{self.box}.{next(self._loans)}.{self._rng.getrandbits(32):x}'
        until = now + TERM_S + LENDER_MARGIN_S
        account.lent.append(Loan(loan, borrow.domain, amount, until))
        return messages.Lend(
            borrow.workspace,
            loan,
            self.domain,
            amount,
            TERM_S,
            borrow.asked,
        )

    def accept_loan(self, lend, now):
        """Take in a Lend; its term counts from when it was asked for."""
        account = self._open(lend.workspace, now)
        if any(loan.loan == lend.loan for loan in account.accept_loan):
            return
        # The term counts from the very ask that is answered, and only asks
        # of this process are known: an answer that was late by several
        # asks, or that an earlier start of this box had asked for, would
        # else be used for longer than the lender counts it.
        asks = self._asks.get((lend.workspace, lend.domain), ())
        until = lend.asked + lend.term
        if lend.asked not in asks or until <= now:
            return
        loan = Loan(lend.loan, lend.domain, lend.amount, until)
        account.accept_loan.append(loan)
        self._short.add(lend.workspace)

    def count_used(self, workspace):
        """Give the places in use."""
        account = self._accounts.get(workspace)
        return len(account.used) if account else 0

    def get_allotment(self, workspace, limit, domains, now):
        """Give the places that this domain may use now."""
        account = self._open(workspace, now)
        return account.allot(split_limit(limit, domains)[self.domain])

    def _open(self, workspace, now):
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = Account()
        account.expire(now)
        return account

    def _ask(self, workspace, account, limit, domains, now):
        floor = split_limit(limit, domains)[self.domain]
        short = len(account.used) + account.wanted - floor
        lasting = sum(
            loan.amount
            for loan in account.accept_loan
            if loan.until > now + RENEW_S
        )
        need = short + ASK_AHEAD - lasting
        if short <= 0 or need <= 0 or now - account.asked < ASK_PERIOD_S:
            account.wanted = 0 if short <= 0 else account.wanted
            return []
        account.asked = now
        account.wanted = 0
        asks = []
        for domain in sorted(domains):
            if domain == self.domain:
                continue
            key = workspace, domain
            if key not in self._asks:
                self._asks[key] = collections.deque(maxlen=ASKS_KEPT)
            self._asks[key].append(now)
            message = messages.Borrow(workspace, self.domain, need, now)
            asks.append((domain, message))
        return asks
