"""Checks that one box at a time gives orders, by what targets were ordered.

Who held the lease when is known to the boxes alone; what they did with it
shows at the targets.
"""

import collections
import typing

# Seconds for which a lease holds (the users' setting).
LEASE_S = 3.0
# Seconds after a sender went on, or a path was sound again, within which an
# order may have been given before (the users' bound).
SLACK_S = 0.3
TAKEN = 202


class Given(typing.NamedTuple):
    """An order as it came to a target."""

    arrived: float
    target: str
    holder: str
    fence: int
    status: int


def check_orders(fleet, sent):
    """List what shows that two boxes gave orders at a time, a line each.

    Parameters
    ----------
    fleet : fleet.Fleet
    sent : list of callers.Sent
        Not asked for.
    """
    given = list_given(fleet)
    problems = [*find_shared(given)]
    for runner in fleet.runners:
        problems += find_lowered(runner)
    return problems + [*find_turns(fleet, given)]


def list_given(fleet):
    """List all orders in the sequence in which they came to targets."""
    return sorted(
        Given(row.arrived, runner.name, row.holder, row.fence, row.status)
        for runner in fleet.runners
        for row in runner.judged
    )


def find_shared(given):
    """Yield the fences under which several boxes gave orders."""
    found = collections.defaultdict(dict)
    for row in given:
        found[row.fence].setdefault(row.holder, row)
    for fence, firsts in found.items():
        if len(firsts) > 1:
            rows = [describe(row) for row in firsts.values()]
            yield f'fence {fence} of {len(firsts)} boxes: {", ".join(rows)}'


def find_lowered(runner):
    """Yield that a target took a lower fence after a higher one, if so."""
    highest = None
    for row in runner.judged:
        if row.status != TAKEN:
            continue
        if highest is not None and row.fence < highest.fence:
            yield (
                f'{runner.name}: took fence {row.fence} of {row.holder} after '
                f'{highest.fence} of {highest.holder}'
            )
            return
        highest = row


def find_turns(fleet, given):
    """Yield the boxes that went on giving orders beside another one.

    Once a target took an order of another box, those of the former one come
    under a fence above both, and no sooner than after a lease.
    """
    # Newest order of each box, and the newest that another one had taken
    # since, by the names of the boxes.
    newest, others = {}, {}
    for row in given:
        former, other = newest.get(row.holder), others.get(row.holder)
        if other is not None and is_turn(row, former, other):
            if not is_excused(fleet, row):
                yield (
                    f'turns: {describe(former)}, {describe(other)}, '
                    f'{describe(row)}'
                )
        newest[row.holder] = row
        others.pop(row.holder, None)
        if row.status == TAKEN:
            others |= {name: row for name in newest if name != row.holder}


def is_turn(row, former, other):
    """Tell whether an order was not given under a claim of its own time."""
    is_higher = row.fence > max(former.fence, other.fence)
    return not is_higher or row.arrived - former.arrived < LEASE_S


def is_excused(fleet, row):
    """Tell whether an order may have been given earlier than it came."""
    since = row.arrived - SLACK_S
    return any(
        fleet.was_held(name, since, row.arrived)
        for name in (row.target, row.holder)
    )


def describe(row):
    """Return an order in a few words."""
    return (
        f'{row.holder} under {row.fence} at {row.target} '
        f'({row.arrived:.2f} s, {row.status})'
    )
