"""The faults of a run: a registry, and a seeded series that overlaps."""

import asyncio
import signal
import time

from landingspool.decisions.gateway import readers
from landingspool.platform import names
from soak import callers
from soak import fleet as fleet_module
from standins import behaviours

FAULTS = []
# Pause between two faults, seconds; most last longer, so they overlap.
PAUSE_S = 0.5
LOOK_S = 0.05
# Seconds for which a box is made to stand still at most.
MOST_PAUSE_S = 4.0
# Longer than the bound after which no request with a lost key may run.
UNHEARD_S = 7.0
# Looks at a process that was told to stop before it is killed: the grace
# time, and one second more.
STOP_LOOKS = round((fleet_module.GRACE_S + 1) / LOOK_S)
# How often a request comes that ends its targets: least and most.
ARRIVALS = 16, 30
# Requests a second that targets name: least and most; how often the figures
# change, and for how many seconds each holds.
LIMITS = 0.3, 4.0
LIMIT_CHANGES = 1, 3
LIMIT_S = 3.0
# Seconds for which a sound target is silent before it goes on.
SILENCE_S = 1.3
# Seconds for which a leaving target says so in its answers alone.
UNHEARD_LEAVING_S = 0.5, 5.0
# Seconds of rest that targets ask for, how many requests each turns away, and
# for how many seconds it does.
RESTS_S = 0.2, 3.0
SHEDS = 1, 6
SHED_S = 4.0
# Streams that each engine breaks off in a row: least and most.
BROKEN = 2, 12
SCRIPTS = (
    'failure',
    'shed',
    'foreign',
    'surplus echo',
    'nonsense',
    'unframed echo',
    'reset',
    'closed',
    'silent',
    'slow echo',
)
# Answers that a target sends once more: how many in a row, and the seconds for
# which it does so with its answers to calls.
TWICE = 8, 40
CALLS_TWICE_S = 4.0
STREAM_SCRIPTS = ('broken stream', 'half event', 'shed', 'closed', 'silent')


def fault(function):
    """Register a fault: ``async fault(fleet, rng)``."""
    FAULTS.append(function)
    return function


async def play(fleet, rng, seconds):
    """Bring about faults for some seconds, then undo what lasts."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + seconds
    works = []
    while loop.time() < ends:
        chosen = rng.choice(FAULTS)
        works.append(asyncio.ensure_future(chosen(fleet, rng)))
        await asyncio.sleep(rng.uniform(0, 2 * PAUSE_S))
    await asyncio.gather(*works)
    for box in fleet.boxes:
        box.send(signal.SIGCONT)
        box.start()


@fault
async def kill(fleet, rng):
    """Kill a box; it starts again."""
    await kill_box(rng.choice(fleet.boxes), rng)


async def kill_box(box, rng):
    """Kill this box; it starts again."""
    process = box.process
    box.send(signal.SIGKILL)
    await asyncio.sleep(rng.uniform(0.1, 1.0))
    await wait_end(process)
    box.start()


@fault
async def stop(fleet, rng):
    """Stop a box as planned; it starts again."""
    box = rng.choice(fleet.boxes)
    process = box.process
    box.send(signal.SIGCONT)
    told = time.monotonic()
    box.send(signal.SIGTERM)
    if not await wait_end(process):
        fleet.overdue[box.name] = told
    box.start()


async def wait_end(process):
    """Wait until a process has ended; tells whether it did by itself."""
    for _ in range(STOP_LOOKS):
        if process.poll() is not None:
            return True
        await asyncio.sleep(LOOK_S)
    process.kill()
    process.wait()
    return False


@fault
async def pause(fleet, rng):
    """Let a box stand still."""
    box = rng.choice(fleet.boxes)
    fleet.paused[box.name] = time.monotonic()
    with fleet.harm(), fleet.hold(box.name):
        box.send(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.3, MOST_PAUSE_S))
        box.send(signal.SIGCONT)


@fault
async def reload(fleet, rng):
    """Tell a box that its settings changed."""
    rng.choice(fleet.boxes).send(signal.SIGHUP)


@fault
async def harm_store(fleet, rng):
    """Let the store misbehave for all."""
    with fleet.harm():
        fleet.store.mode = rng.choice(('busy', 'silent', 'lost'))
        await asyncio.sleep(rng.uniform(0.3, 3.0))
        fleet.store.mode = ''


@fault
async def revoke_unheard(fleet, rng):
    """Take a key away while no box can read the store, for long."""
    with fleet.harm():
        mode = rng.choice(('busy', 'silent'))
        fleet.store.mode = mode
        fleet.revoke()
        for _ in range(int(UNHEARD_S / LOOK_S)):
            # Another fault may have ended the silence.
            fleet.store.mode = mode
            await asyncio.sleep(LOOK_S)
        fleet.store.mode = ''


@fault
async def turn_away(fleet, rng):
    """Keep some boxes from the store while a key is taken away.

    Half of the time the first ones in the order in which boxes read for
    others are among them.
    """
    links = {box.name: box.link_mbps for box in fleet.boxes}
    ranked = readers.rank_readers(links)
    if rng.random() < 0.5:
        rng.shuffle(ranked)
    chosen = ranked[: rng.randint(1, len(ranked) // 2)]
    wires = [box.wire for box in fleet.boxes if box.name in chosen]
    mode = rng.choice(('refuse', 'silent'))
    with fleet.harm(chosen):
        for wire in wires:
            wire.mode = mode
            if mode == 'refuse':
                wire.reset()
        fleet.revoke()
        await asyncio.sleep(rng.uniform(2.0, 5.0))
        for wire in wires:
            wire.mode = ''


@fault
async def forget(fleet, rng):
    """Drop the records of a topic; the newest of each key stay."""
    topics = names.PUBLISHED_TOPIC, names.TARGETS_TOPIC
    fleet.store.topic(rng.choice(topics)).forget()


@fault
async def harm_path(fleet, rng):
    """Cut, delay or silence a path to the store or to a target."""
    wires = {box.wire: box.name for box in fleet.boxes}
    wires |= {wire: name for name, wire in fleet.wires.items()}
    wire = rng.choice(list(wires))
    wire.mode = rng.choice(('', 'silent', 'up', 'down', 'refuse'))
    wire.delay_s = rng.choice((0.0, 0.05, 0.3))
    if rng.random() < 0.5:
        wire.reset()
    # What a box may send to targets does not hang from its way to the store.
    behind = '' if wires[wire] in fleet.list_boxes() else wires[wire]
    with fleet.harm(), fleet.hold(behind):
        await asyncio.sleep(rng.uniform(0.3, 4.0))
        wire.mode, wire.delay_s = '', 0.0


@fault
async def harm_target(fleet, rng):
    """Let a target misbehave for its next requests."""
    runner = rng.choice(fleet.runners)
    engine = runner.service == 'engine'
    scripts = STREAM_SCRIPTS if engine else SCRIPTS
    runner.script += rng.choices(scripts, k=rng.randint(1, 4))


@fault
async def answer_twice(fleet, rng):
    """Let targets send their next answers once more, and those to calls."""
    staying = list_staying(fleet)
    for runner in staying:
        kinds = ['shed'] if runner.service == 'engine' else ['shed', 'echo']
        scripts = [
            f'{kind}, again {when}'
            for kind in kinds
            for when in behaviours.SURPLUS_TIMES
        ]
        runner.script += rng.choices(scripts, k=rng.randint(*TWICE))
        runner.calls_again = rng.choice(behaviours.SURPLUS_TIMES)
    await asyncio.sleep(CALLS_TWICE_S)
    for runner in staying:
        runner.calls_again = ''


@fault
async def break_streams(fleet, rng):
    """Let all engines break off some of their next streams."""
    for runner in list_staying(fleet):
        if runner.service == 'engine':
            runner.script += ['broken stream'] * rng.randint(*BROKEN)


@fault
async def fall_silent(fleet, rng):
    """Let a sound target be silent for a while, and go on."""
    name = rng.choice(list_staying(fleet)).name
    with fleet.hold(name) as silence:
        fleet.silences.append(silence)
        fleet.wires[name].mode = 'silent'
        await asyncio.sleep(SILENCE_S)
        fleet.wires[name].mode = ''


@fault
async def end_targets(fleet, rng):
    """Let a request come again that ends each target that runs it."""
    path = f'/resumed/{len(fleet.ending)}'
    fleet.ending.append(path)
    for number in range(rng.randint(*ARRIVALS)):
        box = rng.choice(fleet.boxes)
        # The box stands in the name of the request: the auditor asks for it.
        name = f'ending{path}-{number} {box.name}'
        asker = callers.Caller(name, fleet, rng)
        await asker.ask(box, path, name, fleet.find_key(), fleet_module.FATAL)
        await fleet.replace_ended()
        await asyncio.sleep(rng.uniform(0, 2 * PAUSE_S))


@fault
async def name_limits(fleet, rng):
    """Let targets name how many requests a second they take; it changes."""
    staying = [r for r in list_staying(fleet) if r.limit is None]
    for runner in rng.sample(staying, rng.randint(0, len(staying))):
        runner.limit = f'{rng.uniform(*LIMITS):.2f}'
        fleet.limits.append(fleet_module.Limited(runner, time.monotonic()))
    named = [row for row in fleet.limits if row.ended is None]
    for _ in range(rng.randint(*LIMIT_CHANGES)):
        await asyncio.sleep(LIMIT_S)
        for row in named:
            row.runner.limit = f'{rng.uniform(*LIMITS):.2f}'
    for row in named:
        row.runner.limit = None
        row.ended = time.monotonic()


@fault
async def leave_unheard(fleet, rng):
    """Let a target leave that tells the store later, or never."""
    staying = list_staying(fleet)
    runner = rng.choice(staying)
    await fleet.add_runner(runner.service)
    runner.leaving = True
    await asyncio.sleep(rng.uniform(*UNHEARD_LEAVING_S))
    if rng.random() < 0.5:
        fleet.drain(runner)


@fault
async def ask_for_rest(fleet, rng):
    """Let targets turn requests away and ask for rest, for some seconds."""
    staying = list_staying(fleet)
    tired = rng.sample(staying, rng.randint(1, len(staying)))
    for runner in tired:
        runner.rest = f'{rng.uniform(*RESTS_S):.2f}'
        runner.script += ['shed'] * rng.randint(*SHEDS)
    await asyncio.sleep(SHED_S)
    for runner in tired:
        runner.rest = None


def list_staying(fleet):
    """List the targets that do not leave, nor have ended."""
    return [
        r for r in fleet.runners if r.name not in fleet.left and not r.leaving
    ]


@fault
async def change(fleet, rng):
    """Publish another table, or take a key away."""
    if rng.random() < 0.4:
        fleet.revoke()
    else:
        fleet.publish()


@fault
async def replace(fleet, rng):
    """Let a target leave, after another one has come."""
    runner = rng.choice(list_staying(fleet))
    await fleet.add_runner(runner.service)
    fleet.drain(runner)


@fault
async def rename_weights(fleet, rng):
    """Name new weights."""
    fleet.name_weights()
