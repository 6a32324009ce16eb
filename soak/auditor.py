"""Checks the promises from what callers and targets saw, nothing else."""

import collections

from soak import callers
from soak import fleet as fleet_module

# Seconds after which a leaving target may get nothing new (the bound is 2;
# the rest is the scheduling of a machine that many processes share).
DRAIN_S = 2.5
# Seconds after a box was kept from the store, or stood still, from which on
# it is bound again by what it should have read there (the users' bound).
CONTACT_S = 3.0
UNREPEATABLE = ('unsafe', 'stream')
WHOLE_STREAM = [1, 2, 3, 4]


def audit(fleet, sent):
    """List the promises that were broken, a line each."""
    runs = collections.Counter()
    for runner in fleet.runners:
        for head in runner.ran:
            runs[head['x-landingspool-request-id']] += 1
    known = {row.name: row for row in sent}
    problems = [p for row in sent for p in check_answer(row, runs[row.name])]
    for runner in fleet.runners:
        problems += check_target(fleet, runner, known)
    return problems


def check_answer(row, runs):
    """Yield what is wrong with one answer."""
    if row.route in UNREPEATABLE and runs > 1:
        yield f'{row.name}: ran {runs} times'
    if row.status in callers.PROMISES and runs and row.route in UNREPEATABLE:
        yield f'{row.name}: told {row.status} but ran'
    if row.status != 200:
        return
    if not row.stamped:
        yield f'{row.name}: a success without proof'
    if row.route in ('safe', 'unsafe'):
        if row.whole and row.body != row.name.encode():
            yield f'{row.name}: got {row.body!r}'
        return
    numbers = list_numbers(row.body)
    if numbers != WHOLE_STREAM[: len(numbers)]:
        yield f'{row.name}: events {numbers}'
    if row.whole and numbers != WHOLE_STREAM:
        yield f'{row.name}: looks whole with events {numbers}'


def list_numbers(body):
    """List the ids of the events in a stream."""
    lines = body.decode('latin-1').split('\n')
    return [int(x[4:]) for x in lines if x.startswith('id: ') and x[4:]]


def check_target(fleet, runner, known):
    """Yield what should not have reached a target."""
    for head in runner.ran:
        name = head['x-landingspool-request-id']
        row = known.get(name)
        if row is None:
            # Its caller was cancelled at the end of the run.
            continue
        gone = fleet.keys[row.key]
        if gone is not None and row.at > gone + fleet_module.KEY_S:
            yield f'{name}: ran {row.at - gone:.2f} s after its key went'
        if head.get('authorization'):
            yield f'{name}: its key reached {runner.name}'
        left = find_bound(fleet, runner, head['at'])
        if left is not None and head['at'] > left + DRAIN_S:
            yield f'{name}: at {runner.name} {head["at"] - left:.2f} s late'


def find_bound(fleet, runner, at):
    """Give from when a target's leaving binds all boxes; None: it doesn't.

    A box that was kept from the store could not know of it.
    """
    left = fleet.left.get(runner.name)
    if left is None:
        return None
    for start, end in fleet.harms:
        if start > at:
            continue
        if end is None:
            return None
        if end + CONTACT_S >= left:
            left = max(left, end + CONTACT_S)
    return left
