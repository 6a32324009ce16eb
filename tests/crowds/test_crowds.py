"""Clients that we don't control end no process, and others are served.

Each test has the machine to itself: a process lives within the memory and the
descriptors of its machine, and answers an ordinary request afterwards.
"""

import asyncio
import signal

from tests.crowds import callers
from tests.crowds import scene as scene_module

CROWD = 64
# Connections that send requests ahead, the requests, and bytes of each body.
FEW = 24
AHEAD = 60
AHEAD_BYTES = 64 * 1024
# Connections that leave their answers unread, and further requests on each.
READERS = 150
FURTHER = 7
# Connections that come at once, and those with heads that stop short.
BURST = 500
HEADS = 300


def run(folder, play):
    """Play a case against the first of the boxes, and check the bounds."""

    async def main():
        async with scene_module.Scene(folder) as scene:
            attacked = scene.machines[0]
            await play(scene, attacked)
            check_bounds(scene)
            for machine in scene.machines:
                assert await scene_module.ask(machine)
            check_bounds(scene)

    asyncio.run(main())


def check_bounds(scene):
    """Check that processes live, and the most that they have used."""
    for machine in scene.machines:
        figures = machine.peak_bytes >> 20, machine.peak_fds
        print(machine.name, *figures)
        assert not machine.was_killed, figures
        assert machine.is_alive()
        assert machine.peak_fds <= scene_module.MAX_FDS


def run_crowd(folder, count, send):
    """Play a crowd of callers who all send the same."""

    async def play(scene, machine):
        await callers.play(machine, count, send)

    run(folder, play)


def test_whole_large_bodies_outgrow_memory(tmp_path):
    run_crowd(tmp_path, CROWD, callers.make_length_sender(0))


def test_large_bodies_that_stop_short_outgrow_memory(tmp_path):
    run_crowd(
        tmp_path, CROWD, callers.make_length_sender(callers.MISSING_BYTES)
    )


def test_large_bodies_with_an_unknown_key_outgrow_memory(tmp_path):
    send = callers.make_length_sender(callers.MISSING_BYTES, key='of-nobody')
    run_crowd(tmp_path, CROWD, send)


def test_large_bodies_piece_by_piece_outgrow_memory(tmp_path):
    send = callers.make_length_sender(
        callers.MISSING_BYTES, piece=callers.PIECE_BYTES
    )
    run_crowd(tmp_path, CROWD, send)


def test_large_chunks_that_stop_short_outgrow_memory(tmp_path):
    run_crowd(tmp_path, CROWD, callers.send_large_chunk)


def test_very_small_chunks_outgrow_memory(tmp_path):
    run_crowd(tmp_path, CROWD, callers.send_small_chunks)


def run_unread(folder, count, send):
    """Play a crowd that leaves long answers unread."""

    async def play(scene, machine):
        for target in scene.targets:
            target.usual = 'long answer'
        await callers.play(machine, count, send)
        for target in scene.targets:
            target.usual = 'swallow'

    run(folder, play)


def test_requests_ahead_with_unread_answers_outgrow_memory(tmp_path):
    run_unread(tmp_path, FEW, callers.make_ahead_sender(AHEAD, AHEAD_BYTES))


def test_unread_long_answers_outgrow_memory(tmp_path):
    run_unread(tmp_path, READERS, callers.make_ahead_sender(1 + FURTHER, 1))


def test_connections_that_come_at_once_outgrow_descriptors(tmp_path):
    async def play(scene, machine):
        # They wait in the kernel until the process goes on.
        machine.process.send_signal(signal.SIGSTOP)
        opened = await asyncio.gather(
            *(asyncio.open_connection(*machine.address) for _ in range(BURST)),
            return_exceptions=True,
        )
        machine.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(callers.CROWD_S)
        for row in opened:
            if not isinstance(row, OSError):
                row[1].transport.abort()

    run(tmp_path, play)


def test_heads_that_stop_short_keep_all_places(tmp_path):
    async def play(scene, machine):
        crowd = asyncio.ensure_future(
            callers.play(
                machine,
                HEADS,
                callers.send_short_head,
                2 * callers.CROWD_S + scene_module.ASK_S,
            )
        )
        await asyncio.sleep(callers.CROWD_S)
        # Half of the time for a head at most: none has ended by itself.
        async with asyncio.timeout(scene_module.HEADER_MS / 2000):
            served = await scene_module.ask(machine)
        crowd.cancel()
        assert served

    run(tmp_path, play)
