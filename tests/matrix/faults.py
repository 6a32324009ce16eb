"""The faults of the matrix: each is applied as a step is reached.

A fault gets the world and the step and may return what becomes of the
message that the step sends: ``drop``, ``late`` or ``double``.
"""

from landingspool import box as box_module
from tests.virtual import stories

FAULTS = {}
FROZEN_S = 8.0
CUT_S = 4.0
BOXES = (box_module.Box,)


def fault(name):
    """Register a fault under its name in the table."""

    def add(function):
        FAULTS[name] = function
        return function

    return add


def find_box(world, step):
    """Give the box that takes part in a step, or None."""
    for name in (step.actor, step.peer):
        process = world.processes.get(name)
        if process is not None and isinstance(process.thing, BOXES):
            return name
    return None


def find_other(world, step):
    """Give the process at the other side of a step, or None."""
    box = find_box(world, step)
    for name in (step.peer, step.actor):
        if name and name != box and name in world.processes:
            return name
    return None


def find_target(world, step):
    """Give the target that takes part in a step, or a first one."""
    for name in (step.peer, step.actor, 'e00'):
        if name.startswith('e') and name in world.processes:
            return name
    return None


@fault('killed')
def kill(world, step):
    """Kill the box at once; another starts in its place."""
    box = find_box(world, step)
    if box is None:
        return None
    domain = world.processes[box].domain
    world.kill(box)
    world.members.pop(box)
    world.start_box(f'{domain}-8', domain)
    world.announce()
    return None


@fault('frozen')
def freeze(world, step):
    """Freeze the box past its lease; it goes on afterwards."""
    box = find_box(world, step)
    if box is not None:
        world.freeze(box, FROZEN_S)


@fault('frozen twice')
def freeze_twice(world, step):
    """Freeze the box, let it run for a moment, and freeze it again."""
    box = find_box(world, step)
    if box is None:
        return
    world.freeze(box, 2.0)

    def again():
        if box in world.processes:
            world.freeze(box, FROZEN_S)

    loop = world.processes['callers'].loop
    loop.call_at(world.now + 2.1, again)


@fault('other box frozen')
def freeze_other(world, step):
    """Freeze the box that the message goes to."""
    world.freeze(step.peer, FROZEN_S)


@fault('entry frozen')
def freeze_entry(world, step):
    """Freeze an entry box that has just got a grant, before it acts."""
    world.freeze(step.actor, FROZEN_S)


@fault('other box killed')
def kill_other(world, step):
    """Kill the box that the message goes to."""
    kill(world, step._replace(actor=step.peer))


@fault('link cut one way')
def cut_one_way(world, step):
    """Cut the way back from the other side, then heal it."""
    box, other = find_box(world, step), find_other(world, step)
    if box and other:
        world.cut(other, box, CUT_S, both=False)


@fault('link cut')
def cut_both_ways(world, step):
    """Cut both ways between the two sides, then heal them."""
    box, other = find_box(world, step), find_other(world, step)
    if box and other:
        world.cut(box, other, CUT_S)


@fault('domain cut from domains')
def cut_domain(world, step):
    """Cut the two domains from each other."""
    world.cut('north', 'south', CUT_S)


@fault('domain cut from platform')
def cut_platform(world, step):
    """Cut the box's domain from the platform."""
    box = find_box(world, step)
    domain = world.processes[box].domain if box else 'north'
    world.cut(domain, 'platform', CUT_S)


@fault('message lost')
def lose(world, step):
    """Lose what the step sends."""
    return 'drop'


@fault('message late')
def delay(world, step):
    """Deliver what the step sends two seconds later, out of order."""
    return 'late'


@fault('message doubled')
def double(world, step):
    """Deliver what the step sends twice."""
    return 'double'


@fault('answer lost')
def lose_answer(world, step):
    """Let the act happen and lose its answer."""
    exchange = step.subject
    exchange.cut = True
    loop = world.processes['callers'].loop
    loop.call_at(world.now + 0.2, reset_lost, exchange)


def reset_lost(exchange):
    """Let the client of a lost answer see a reset connection."""
    exchange.cut = False
    exchange.ended = False
    exchange.reset('answer lost')


@fault('log down')
def stop_log(world, step):
    """Let the log refuse everything for a time."""
    set_log(world, 'down', CUT_S)


@fault('log slow')
def slow_log(world, step):
    """Let the log answer late for a time."""
    set_log(world, 'slow', CUT_S)


@fault('log loses answers')
def lossy_log(world, step):
    """Let the log take appends and lose their answers for a time."""
    set_log(world, 'lose', CUT_S)


def set_log(world, mode, seconds):
    """Set the log's mode for a time."""
    log = world.processes['log'].thing
    log.mode = mode
    loop = world.processes['log'].loop
    loop.call_at(world.now + seconds, setattr, log, 'mode', 'up')


@fault('log past its retention')
def forget_log(world, step):
    """Let the log keep only its newest records."""
    world.processes['log'].thing.options.retain = 2


@fault('store full')
def fill_stores(world, step):
    """Let the stores take nothing more."""
    for name, process in world.processes.items():
        if name.startswith('s0') or name.startswith('s1'):
            process.thing.options.memory = 0
            process.thing.options.disk = 0


@fault('store dead')
def kill_store(world, step):
    """Kill one store."""
    world.kill('s0')


@fault('store corrupt')
def corrupt_store(world, step):
    """Change bytes of all stored blocks and take the seals off some."""
    for name in ('s0', 's1'):
        for index, write in enumerate(
            world.processes[name].thing.writes.values()
        ):
            if index % 2:
                write.sealed = False
            elif write.data:
                write.data[0] ^= 0xFF


@fault('store link slowed')
def slow_store(world, step):
    """Let the links of the stores carry a hundredth."""
    for name in ('s0', 's1'):
        world.processes[name].thing.options.bandwidth /= 100


@fault('target dying')
def kill_target(world, step):
    """Kill the target."""
    target = find_target(world, step)
    if target is not None:
        world.kill(target)


@fault('target leaving')
def leave_target(world, step):
    """Let the target leave."""
    target = find_target(world, step)
    if target is not None:
        stories.leave(world, target)


@fault('target frozen')
def freeze_target(world, step):
    """Freeze the target for a time."""
    target = find_target(world, step)
    if target is not None:
        world.freeze(target, FROZEN_S)


@fault('target without fences')
def unfence_targets(world, step):
    """Let no target check the epoch of its orders any more."""
    for name, process in world.processes.items():
        if name.startswith('e'):
            process.thing.options.checks = 0
            world.members[name]['checks_fences'] = False
    world.announce()


@fault('two operators')
def race(world, step):
    """Let two operators publish one row at two boxes at once."""
    base = stories.get_rows(world)['b'].revision
    for box, limit in (('north-1', 11), ('south-0', 12)):
        if box in world.processes:
            edit = f'race-{box}'
            call = stories.publish(
                world, box, edit, ['b'], [base], None, limit
            )
            world.spawn(call)


@fault('domain replaced')
def replace_domain(world, step):
    """Kill all boxes of a domain and start others."""
    for name in [n for n in world.list_boxes() if n.startswith('north')]:
        world.kill(name)
        world.members.pop(name)
    for number in range(2):
        world.start_box(f'north-{number + 20}', 'north')
    world.announce()


def make_plan(pairs):
    """Give a plan that applies each fault when its step is first reached.

    Parameters
    ----------
    pairs : sequence of (str, str)
        Step and fault.
    """
    pending = list(pairs)
    applied = []

    def plan(world, step):
        for pair in pending:
            if pair[0] == step.name:
                pending.remove(pair)
                applied.append(pair)
                return FAULTS[pair[1]](world, step)
        return None

    plan.applied = applied
    plan.pending = pending
    return plan
