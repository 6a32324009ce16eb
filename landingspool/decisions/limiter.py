"""Limiter of the concurrent requests of a workspace in a failure domain.

The limit is split into a floor of permits for each domain.  A domain that
needs more borrows permits from another for a term.  The lender counts them as
used until the term has certainly ended at the borrower: the borrower's term
starts when it asks, the lender's when it lends, which is later.  The
allotments therefore never add up to more than the limit, even during a
network partition and without a third party.  During a partition, a request
may run past the term of the loan it was admitted under; the overshoot is at
most the number of permits lent when the partition began.
"""

import collections
import itertools
import typing

from landingspool.decisions import messages
from landingspool.decisions import retries

LOAN_TERM_S = 10.0
LENDER_MARGIN_S = 2.0
RENEW_AHEAD_S = 5.0
PERMIT_LEASE_S = 15.0
ASK_INTERVAL_S = 0.25
EXTRA_PERMITS = 1
SWEEP_BATCH = 8
MAX_RECORDED_ASKS = int(LOAN_TERM_S / ASK_INTERVAL_S) + 1


class Permit(typing.NamedTuple):
    """Permit in use by a request.

    `entry` is the entry box that holds it; `until` the monotonic time in
    seconds until which it counts unless renewed.
    """

    entry: str
    until: float


class Loan(typing.NamedTuple):
    """Permits lent to or borrowed from `peer`, counted until `until`."""

    loan: str
    peer: str
    amount: int
    until: float


class Account:
    """Permits of one workspace in one domain.

    Attributes
    ----------
    used : dict of str to Permit
        By request.
    loans_out, loans_in : list of Loan
        Permits lent and borrowed.
    wanted : int
        Requests refused since permits were last asked for.
    asked_at : float
        Monotonic time in seconds at which permits were last asked for.
    """

    def __init__(self):
        self.used = {}
        self.loans_out = []
        self.loans_in = []
        self.wanted = 0
        self.asked_at = float('-inf')

    def expire(self, now):
        """Remove expired loans and permits."""
        self.loans_out = [loan for loan in self.loans_out if loan.until > now]
        self.loans_in = [row for row in self.loans_in if row.until > now]
        for request in [r for r, p in self.used.items() if p.until <= now]:
            del self.used[request]

    def allot(self, floor):
        """Return the number of permits that this domain may use now."""
        lent_permits = sum(loan.amount for loan in self.loans_out)
        borrowed_permits = sum(loan.amount for loan in self.loans_in)
        return floor - lent_permits + borrowed_permits


def split_limit(limit, domains):
    """Return the floor of each domain; the floors add up to the limit.

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
    """Limiter of the workspaces that this box is responsible for.

    Parameters
    ----------
    domain, box : str
    rng : random.Random
        For the jitter of Retry-After and for loan ids.
    """

    def __init__(self, domain, box, rng):
        self.domain = domain
        self.box = box
        self._rng = rng
        self._accounts = {}
        self._loans = itertools.count(1)
        self._asks = {}
        self._borrowers = set()
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
            account.used[request] = Permit(entry, now + PERMIT_LEASE_S)
            return messages.Reserved(request, True, 0.0)
        account.wanted += 1
        self._borrowers.add(workspace)
        after = retries.spread_retry_after(ASK_INTERVAL_S, self._rng)
        return messages.Reserved(request, False, after)

    def release(self, request, workspace):
        """Release the permit of a request."""
        account = self._accounts.get(workspace)
        if account is not None:
            account.used.pop(request, None)

    def renew(self, entry, workspace, requests, now):
        """Renew the permits that an entry box holds, or adopt them.

        A limiter that has just started learns the permits in use this way.
        """
        account = self._open(workspace, now)
        for request in requests:
            account.used[request] = Permit(entry, now + PERMIT_LEASE_S)

    def resume(self, seconds):
        """Extend the leases of permits by a stall of `seconds`.

        Entry boxes may have sent renewals during the stall.  Loans are not
        extended, because both sides count their terms.
        """
        for account in self._accounts.values():
            for request, permit in account.used.items():
                until = permit.until + seconds
                account.used[request] = permit._replace(until=until)

    def tick(self, get_limit, domains, now):
        """Return the Borrow messages that are due, as (domain, message).

        Only accounts that want or have borrowed permits are processed.  The
        others expire when they are used, and a part of them is swept at
        each tick.
        """
        self._sweep(now)
        asks = []
        if len(domains) < 2:
            return asks
        for workspace in list(self._borrowers):
            account = self._open(workspace, now)
            limit = get_limit(workspace)
            if limit:
                asks += self._ask(workspace, account, limit, domains, now)
            if not account.wanted and not account.loans_in:
                self._borrowers.discard(workspace)
        return asks

    def _sweep(self, now):
        if not self._to_sweep:
            self._to_sweep = list(self._accounts)
        for _ in range(min(SWEEP_BATCH, len(self._to_sweep))):
            workspace = self._to_sweep.pop()
            account = self._accounts.get(workspace)
            if account is None:
                continue
            account.expire(now)
            if not any((account.used, account.loans_out, account.loans_in)):
                if not account.wanted:
                    del self._accounts[workspace]

    def lend(self, borrow, limit, domains, now):
        """Return a loan of up to half of the idle permits, or None."""
        account = self._open(borrow.workspace, now)
        floor = split_limit(limit, domains)[self.domain]
        idle = account.allot(floor) - len(account.used)
        own = floor - sum(loan.amount for loan in account.loans_out)
        # Borrowed permits are not lent on: a chain of loans would outlive
        # the term of the first.
        amount = min(borrow.amount, max(idle + 1, 0) // 2, max(own, 0))
        if amount <= 0:
            return None
        loan = f'{self.box}.{next(self._loans)}.{self._rng.getrandbits(32):x}'
        until = now + LOAN_TERM_S + LENDER_MARGIN_S
        account.loans_out.append(Loan(loan, borrow.domain, amount, until))
        return messages.Lend(
            borrow.workspace,
            loan,
            self.domain,
            amount,
            LOAN_TERM_S,
            borrow.asked,
        )

    def accept_loan(self, lend, now):
        """Accept a loan, whose term counts from the time of the request."""
        account = self._open(lend.workspace, now)
        if any(loan.loan == lend.loan for loan in account.loans_in):
            return
        # The term counts from the Borrow that is answered, and only those
        # of this process are known.  Otherwise an answer that is delayed by
        # several requests, or that belongs to an earlier run of this box,
        # would be used for longer than the lender counts it.
        asks = self._asks.get((lend.workspace, lend.domain), ())
        until = lend.asked + lend.term
        if lend.asked not in asks or until <= now:
            return
        loan = Loan(lend.loan, lend.domain, lend.amount, until)
        account.loans_in.append(loan)
        self._borrowers.add(lend.workspace)

    def count_used(self, workspace):
        """Return the number of permits in use."""
        account = self._accounts.get(workspace)
        return len(account.used) if account else 0

    def get_allotment(self, workspace, limit, domains, now):
        """Return the number of permits that this domain may use now."""
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
            for loan in account.loans_in
            if loan.until > now + RENEW_AHEAD_S
        )
        need = short + EXTRA_PERMITS - lasting
        if short <= 0 or need <= 0 or now - account.asked_at < ASK_INTERVAL_S:
            account.wanted = 0 if short <= 0 else account.wanted
            return []
        account.asked_at = now
        account.wanted = 0
        asks = []
        for domain in sorted(domains):
            if domain == self.domain:
                continue
            key = workspace, domain
            if key not in self._asks:
                self._asks[key] = collections.deque(maxlen=MAX_RECORDED_ASKS)
            self._asks[key].append(now)
            message = messages.Borrow(workspace, self.domain, need, now)
            asks.append((domain, message))
        return asks
