"""Checks the streams that callers take up after they have broken off."""

import re

from soak import fleet as fleet_module

# Streams taken up from which on the share that goes on counts, and how much
# smaller than that of new streams it may be (the users' bounds).
LEAST_TAKEN_UP = 12
LEAST_SHARE = 0.5
# Seconds for which a box must have been sound before a request.
CONTACT_S = 3.0
# Targets of a version that have to serve for its streams to go on.
LEAST_SERVING = 2
MADE_BY = re.compile(rb': by (\S+)')


def check_streams(fleet, sent):
    """Yield the streams of two versions, and that too few went on."""
    made = {}
    for row in sent:
        if row.route in fleet_module.RESUMABLE:
            versions = MADE_BY.findall(row.body)
            made.setdefault(row.first or row.name, set()).update(versions)
    for name, versions in made.items():
        if len(versions) > 1:
            yield f'{name}: made by {sorted(versions)}'
    yield from check_share(fleet, sent, made)


def check_share(fleet, sent, made):
    """Yield that too few streams went on, if that is so."""
    sound = [
        row
        for row in sent
        if row.route in fleet_module.RESUMABLE
        and is_sound(fleet, row.box, row.at)
    ]
    new = [row for row in sound if not row.first]
    taken = [
        row
        for row in sound
        if row.first and count_serving(fleet, made[row.first], row.at)
    ]
    if len(taken) < LEAST_TAKEN_UP or not new:
        return
    begins = sum(has_events(row) for row in new) / len(new)
    goes_on = sum(has_events(row) for row in taken) / len(taken)
    if goes_on < begins * LEAST_SHARE:
        yield (
            f'{goes_on:.2f} of {len(taken)} streams went on, '
            f'{begins:.2f} begin'
        )


def has_events(row):
    """Tell whether an answer brought any event."""
    return row.status == 200 and bool(MADE_BY.search(row.body))


def is_sound(fleet, box, at):
    """Tell whether a box ran, and reached the store, for long enough."""
    since = at - CONTACT_S
    harmed = any(
        start <= at
        and (end is None or end >= since)
        and (not boxes or box in boxes)
        for start, end, boxes in fleet.harms
    )
    started = fleet.has_started(box, since, at)
    return not (harmed or started or fleet.was_held(box, since, at))


def count_serving(fleet, versions, at):
    """Tell whether enough targets of a stream's version serve."""
    serving = [
        runner
        for runner in fleet.runners
        if runner.service == 'engine'
        and runner.software.encode() in versions
        and not runner.leaving
        and fleet.left.get(runner.name, at + 1) > at
    ]
    return len(serving) >= LEAST_SERVING
