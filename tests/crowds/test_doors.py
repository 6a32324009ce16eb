"""The other addresses of a box stay within its memory and descriptors, too."""

import asyncio

import pytest

from landingspool.gateway import hub
from tests.crowds import callers
from tests.crowds import scene as scene_module
from tests.crowds import test_crowds

DOORS = {
    'ready': scene_module.PORTS['ready'],
    'control': scene_module.PORTS['control'],
    'metrics': hub.METRICS_PORT,
    'forwarding': scene_module.INTERNAL_PORTS[1],
}
# Connections that come and say nothing.
SILENT = 500


class Door:
    """Another address of a machine."""

    def __init__(self, machine, port):
        self.address = machine.ip, port
        self.is_alive = machine.is_alive


@pytest.mark.parametrize('name', DOORS)
def test_large_bodies_at_another_door_outgrow_memory(tmp_path, name):
    async def play(scene, machine):
        door = Door(machine, DOORS[name])
        send = callers.make_length_sender(callers.MISSING_BYTES)
        await callers.play(door, test_crowds.CROWD, send)

    test_crowds.run(tmp_path, play)


@pytest.mark.parametrize('name', DOORS)
def test_silent_connections_at_another_door_outgrow_descriptors(
    tmp_path, name
):
    async def play(scene, machine):
        opened = await asyncio.gather(
            *(
                asyncio.open_connection(machine.ip, DOORS[name])
                for _ in range(SILENT)
            ),
            return_exceptions=True,
        )
        await asyncio.sleep(callers.CROWD_S)
        # The balancer still learns that the box is ready.
        door = Door(machine, scene_module.PORTS['ready'])
        assert await ask_ready(door) == 200
        for row in opened:
            if not isinstance(row, OSError):
                row[1].transport.abort()

    test_crowds.run(tmp_path, play)


async def ask_ready(door):
    """Ask as the balancer does; return the status."""
    async with asyncio.timeout(scene_module.ASK_S):
        reader, writer = await asyncio.open_connection(*door.address)
        try:
            writer.write(b'GET /api/readyz HTTP/1.1\r\nhost: a\r\n\r\n')
            return await scene_module.read_status(reader)
        finally:
            writer.close()
