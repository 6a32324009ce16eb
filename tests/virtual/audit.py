"""Checks what must hold, from the stand-ins' own records.

It reads what the targets ran and used, what the log holds and what the
callers were told; never what landingspool says of itself.  The one thing
read from the boxes is the table that each has in force.
"""

import base64
import collections
import hashlib

from landingspool.decisions import configuration
from standins import engine
from standins import plain

LEAVE_S = 4.0


def check_all(world):
    """List everything that does not hold, as texts."""
    found = []
    for check in CHECKS:
        found += [f'{check.__name__[6:]}: {text}' for text in check(world)]
    return found


def list_processes(world):
    """Give all stand-ins and boxes, the dead ones too."""
    return [*world.processes.values(), *world.dead.values()]


def count_runs(world):
    """Count for each caller's request how often a target ran it."""
    runs = collections.Counter()
    for process in list_processes(world):
        if isinstance(process.thing, engine.Engine):
            rows = process.thing.log
        elif isinstance(process.thing, plain.Plain):
            rows = process.thing.runs
        else:
            continue
        for row in rows:
            runs[row['request'].partition('#')[0]] += 1
    return runs


def check_not_run(world):
    """A request refused as not run, with no other answer, did not run."""
    runs = count_runs(world)
    for sent in world.answers:
        told = [a.error.get('verdict') for a in sent.answers if a]
        lost = any(a is None or a.status == 0 for a in sent.answers)
        if lost or any(v != 'not_run' for v in told):
            continue
        count = runs[f'{sent.workspace}/{sent.name}']
        if count:
            yield f'{sent.name} was refused as not run and ran {count} times'


def check_at_most_once(world):
    """A request that must not be repeated runs at most once."""
    runs = count_runs(world)
    for sent in world.answers:
        count = runs[f'{sent.workspace}/{sent.name}']
        if not sent.repeatable and count > 1:
            yield f'{sent.name} ran {count} times'


def check_answers(world):
    """Each caller gets an answer, its own, whole and in order."""
    for sent in world.answers:
        if not sent.answers:
            yield f'{sent.name} got no answer'
        for answer in sent.answers:
            if answer is None:
                yield f'{sent.name} got no final answer in time'
            elif answer.whole and answer.text != make_answer(sent):
                yield f'{sent.name} got {answer.text!r}'
            elif answer.text and not make_answer(sent).startswith(answer.text):
                yield f'{sent.name} got parts of another: {answer.text!r}'


def make_answer(sent):
    """Give the right answer of the stand-ins to a request."""
    if not sent.repeatable:
        return '{"done": "' + sent.prompt[:64] + '"}'
    digest = hashlib.blake2b(sent.prompt.encode(), digest_size=4).hexdigest()
    return ''.join(f'{digest}-{index} ' for index in range(sent.tokens))


def check_configuration(world):
    """All boxes agree with the log, and what was accepted stays."""
    log = world.processes['log'].thing
    rows = log.streams[configuration.STREAM]
    first = log.firsts[configuration.STREAM]
    if first == 0:
        expected, accepted = fold_log(rows)
        for name in world.list_boxes():
            table = world.processes[name].thing.node.table
            if table.offset == expected.offset and table != expected:
                yield f'{name} has another table at offset {table.offset}'
            if table.offset < expected.offset:
                yield f'{name} is behind: {table.offset}'
        for edit, answer in world.tables:
            outcome = answer and answer['outcome']
            if outcome == 'accepted' and edit not in accepted:
                yield f'{edit} was called accepted'
            if outcome in ('conflict', 'invalid', 'not_published'):
                if edit in accepted:
                    yield f'{edit} was called {outcome}, and is in force'
        counts = collections.Counter(accepted)
        for edit, count in counts.items():
            if count > 1:
                yield f'{edit} was accepted {count} times'


def fold_log(rows):
    """Fold the log's own records; gives the table and accepted edits."""
    table, accepted = configuration.Table(), []
    for offset, row in enumerate(rows):
        table, result = configuration.fold(
            table, offset, base64.b64decode(row)
        )
        if result.outcome == configuration.ACCEPTED:
            accepted.append(result.edit)
    return table, accepted


def check_offsets(world):
    """No box ever went back in offset."""
    for name, offsets in world.offsets.items():
        if offsets != sorted(offsets):
            yield f'{name} went back: {offsets}'


def check_leaving(world):
    """A leaving target gets no new work after a few seconds."""
    for name, since in world.leaves.items():
        process = world.processes.get(name) or world.dead[name]
        for run in process.thing.log:
            if run['at'] > since + LEAVE_S:
                late = run['at'] - since
                yield f'{name} got {run["request"]} {late:.1f} s later'


def check_context(world):
    """No target used foreign, broken, old or unsealed context."""
    for process in list_processes(world):
        if isinstance(process.thing, engine.Engine):
            for bad in process.thing.bad:
                yield f'{process.name} used {bad}'


def check_orders(world):
    """No target took an order of an older epoch after a newer one."""
    for process in list_processes(world):
        if isinstance(process.thing, engine.Engine):
            epochs = [epoch for epoch, _ in process.thing.orders]
            if epochs != sorted(epochs):
                yield f'{process.name} took orders {epochs}'


def check_faults(world):
    """No task of a box ended by an error that nothing handled."""
    for process in list_processes(world):
        for error in process.loop.errors:
            yield f'{process.name}: {error.get("exception")!r}'
        box = process.thing
        if hasattr(box, 'recorder'):
            for event in box.recorder.select():
                if event.name in FAULTS:
                    yield f'{process.name}: {event.fields}'


FAULTS = 'fault', 'record_passed_over', 'bad_message'
CHECKS = (
    check_not_run,
    check_at_most_once,
    check_answers,
    check_configuration,
    check_offsets,
    check_leaving,
    check_context,
    check_orders,
    check_faults,
)
