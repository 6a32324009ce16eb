"""Real boxes beside records of another writer in the platform's store."""

import asyncio
import os
import random

from landingspool.platform import names
from soak import callers
from soak import fleet as fleet_module
from tests.gateway import test_odd_boxes
from tests.gateway import test_odd_entries

# A draw of it gives three boxes, each in a failure domain of its own.
SHAPE_SEED = 2
# Seconds in which boxes read what was written, and those that stop end.
READ_S = 3.0
ROUTES = 'safe', 'unsafe'


def test_an_odd_entry_ends_no_process(tmp_path):
    statuses, ends = asyncio.run(play(tmp_path))
    assert ends == {}
    assert set(statuses) == {200}


async def play(folder):
    """Write odd entries, and start all boxes anew beside them.

    Returns
    -------
    tuple of (list of int, dict of str to int)
        The statuses of requests, and what processes have ended with.
    """
    subnet = 100 + os.getpid() % 100
    fleet = fleet_module.Fleet(folder, subnet)
    rng = random.Random(SHAPE_SEED)
    statuses, ends = [], {}
    try:
        await fleet.open(rng)
        await fleet_module.wait_ready(fleet)
        write_entries(fleet)
        await asyncio.sleep(READ_S)
        statuses += await ask_all(fleet, rng)
        ends.update(list_ended(fleet))
        for box in fleet.boxes:
            box.process.kill()
            box.process.wait()
        for box in fleet.boxes:
            box.start()
        await fleet_module.wait_ready(fleet)
        await asyncio.sleep(READ_S)
        statuses += await ask_all(fleet, rng)
        ends.update(list_ended(fleet))
    finally:
        await fleet.close()
    return statuses, ends


def write_entries(fleet):
    """Write all odd entries, and a sound configuration after them."""
    for topic, key, value in test_odd_entries.ENTRIES.values():
        fleet.store.put(topic, key, value)
    for name, value in test_odd_boxes.BOXES.items():
        fleet.store.put(names.BOXES_TOPIC, name, value)
    fleet.publish()


async def ask_all(fleet, rng):
    """Send requests to each box; return their statuses."""
    caller = callers.Caller(0, fleet, rng)
    statuses = []
    for box in fleet.boxes:
        for route in ROUTES:
            name = f'{box.name}-{route}-{len(box.starts)}'
            status, *_ = await caller.ask(
                box, f'/{route}/a', name, fleet.find_key(), name.encode()
            )
            statuses.append(status)
    return statuses


def list_ended(fleet):
    """Return the exit status of each process that has ended, by box."""
    return {
        box.name: box.process.returncode
        for box in fleet.boxes
        if box.process.poll() is not None
    }
