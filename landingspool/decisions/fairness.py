"""Weighted fair queue with priority classes that cannot starve.

Each workspace has a counter of the service it received, in tokens divided by
its weight.  The waiting workspace with the lowest counter is served next.
The counter of a workspace that was idle is raised to the lowest counter in
use, so that idle time earns no credit.  Higher classes are served first, but
every LOW_CLASS_EVERY-th request is taken from the lowest waiting class.

Source: Sheng et al., "Fairness in Serving Large Language Models", 2024
(token counters that are raised when a client returns).
"""

import collections
import functools
import heapq
import itertools
import typing

LOW_CLASS_EVERY = 10
OUTPUT_COST = 2.0
INITIAL_OUTPUT_TOKENS = 64.0
OUTPUT_SMOOTHING = 0.2

CHARGES = {}


def charge(name):
    """Register a method to charge for output of unknown length."""

    def add(function):
        CHARGES[name] = function
        return function

    return add


@charge('end')
def charge_at_end(prompt_tokens, expected_output):
    """Charge nothing for the output before its length is known."""
    return float(prompt_tokens)


@charge('reserve')
def charge_reservation(prompt_tokens, expected_output):
    """Charge the expected output at the start and settle at the end.

    Source: the reservation ledger of Prakash and Sahoo, "Budgets as code
    with Flyte, OpenLineage, and Marquez", 2026.
    """
    return prompt_tokens + OUTPUT_COST * expected_output


def compute_cost(prompt_tokens, output_tokens):
    """Return the service used by a finished request, in tokens.

    >>> compute_cost(100, 10)
    120.0
    """
    return prompt_tokens + OUTPUT_COST * output_tokens


class Share(typing.NamedTuple):
    """Weight and priority class of a workspace."""

    weight: float
    priority: int


@functools.lru_cache(maxsize=4096)
def make_share(weight, priority):
    """Return the Share of a row; cached, since rows rarely change."""
    return Share(weight, priority)


class FairQueue:
    """The waiting requests of one pool.

    Parameters
    ----------
    charge : str
        Name of a registered charging method.
    """

    def __init__(self, charge='reserve'):
        self._charge = CHARGES[charge]
        self._waiting = collections.defaultdict(dict)
        self._shares = {}
        self._served = collections.defaultdict(float)
        self._output = {}
        self._heaps = collections.defaultdict(list)
        self._counts = collections.Counter()
        self._weights = collections.defaultdict(float)
        self._turn = itertools.count(1)
        self._pending = collections.Counter()
        self._floor = 0.0
        self.length = 0

    def push(self, work, share):
        """Append a request to the queue of its workspace."""
        name = work.workspace
        self._set_share(name, share)
        if not self._waiting[name]:
            if not self._pending[name]:
                self._served[name] = max(self._served[name], self._floor)
            self._activate(name)
        self._waiting[name][work.request] = work
        self.length += 1

    def pop(self):
        """Remove and return the next request, or None."""
        name = self._find_next()
        if name is None:
            return None
        request = next(iter(self._waiting[name]))
        self._floor = max(self._floor, self._served[name])
        return self.remove(name, request)

    def remove(self, workspace, request):
        """Remove and return a request, or None if it is not queued."""
        rows = self._waiting.get(workspace)
        work = rows.pop(request, None) if rows else None
        if work is None:
            return None
        self.length -= 1
        if not rows:
            self._deactivate(workspace)
            del self._waiting[workspace]
        return work

    def find(self, workspace, request):
        """Return a waiting request, or None."""
        return self._waiting.get(workspace, {}).get(request)

    def reserve(self, workspace, prompt_tokens):
        """Charge for a request that starts; return the amount in tokens."""
        expected = self.estimate_output(workspace)
        amount = self._charge(prompt_tokens, expected)
        self._pending[workspace] += 1
        self._add(workspace, amount)
        return amount

    def settle(self, workspace, charged, prompt_tokens, output_tokens):
        """Replace the charge for a request by its actual cost."""
        used = compute_cost(prompt_tokens, output_tokens)
        self._pending[workspace] -= 1
        if self._pending[workspace] <= 0:
            del self._pending[workspace]
        if output_tokens:
            guess = self.estimate_output(workspace)
            updated = guess + OUTPUT_SMOOTHING * (output_tokens - guess)
            self._output[workspace] = updated
        self._add(workspace, used - charged)

    def estimate_output(self, workspace):
        """Return the expected length of an answer, in tokens."""
        return self._output.get(workspace, INITIAL_OUTPUT_TOKENS)

    def count_ahead(self, workspace, share):
        """Estimate the number of requests served before a new one.

        The queue of a workspace is served at its share of the pool, so a
        burst of one workspace delays itself and not the others.
        """
        own = len(self._waiting.get(workspace, ()))
        weights = sum(self._weights.values())
        if workspace not in self._waiting:
            weights += share.weight
        return min(own * weights / share.weight, self.length)

    def get_served(self, workspace):
        """Return the counter of a workspace, in tokens over weight."""
        return self._served[workspace]

    def _set_share(self, name, share):
        old = self._shares.get(name)
        if old == share:
            return
        waits = bool(self._waiting.get(name))
        if waits:
            self._deactivate(name)
        self._shares[name] = share
        if waits:
            self._activate(name)

    def _add(self, name, amount):
        share = self._shares.get(name)
        if share is None:
            return
        self._served[name] += amount / share.weight
        if self._waiting.get(name):
            self._push_heap(name)

    def _activate(self, name):
        share = self._shares[name]
        self._counts[share.priority] += 1
        self._weights[share.priority] += share.weight
        self._push_heap(name)

    def _deactivate(self, name):
        share = self._shares[name]
        self._counts[share.priority] -= 1
        self._weights[share.priority] -= share.weight
        if not self._counts[share.priority]:
            del self._counts[share.priority]
            del self._weights[share.priority]
            self._heaps.pop(share.priority, None)

    def _push_heap(self, name):
        # Each change pushes a new entry.  Outdated entries are discarded
        # when they reach the top, which is cheaper than a search.
        entry = (self._served[name], name)
        heapq.heappush(self._heaps[self._shares[name].priority], entry)

    def _find_next(self):
        if not self._counts:
            return None
        low_turn = next(self._turn) % LOW_CLASS_EVERY == 0
        pick = min if low_turn else max
        heap = self._heaps[pick(self._counts)]
        while heap:
            served, name = heap[0]
            if self._waiting.get(name) and served == self._served[name]:
                return name
            heapq.heappop(heap)
        return None
