"""Start the boxes as the deploy file does, and write their settings."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = 'prado', 'cordon', 'carrasco'
SETTINGS = """
node = "{name}"
role = "box"
machine_class = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "montevideo"
internal_ports = [{first}, {last}]
seeds = {seeds}
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "kvcache",
  "stream", "engine", "tenants", "platform"]
[zones]
prado = "montevideo"
cordon = "montevideo"
carrasco = "montevideo"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
lost_ms = 200
config_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
revoke_fail_closed = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 52
recover_s = 12
transit_ms = 120
again_s = 20
require_fencing = true
lease_ms = 3000
thaw_slack_ms = 300
version_ms = 12000
version_all_ms = 17000
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""
PORTS = {'first': 7700, 'last': 7715}
READY_S = 20.0


class Box:
    """One process of the project."""

    def __init__(self, name, zone, ip, folder):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process = None
        self._path = folder / f'{name}.toml'
        self._log = folder / f'{name}.log'

    @property
    def front(self):
        """Address for clients."""
        return self.ip, 8005

    def write_settings(self, seeds, store):
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name,
            zone=self.zone,
            ip=self.ip,
            seeds=json.dumps([f'{ip}:8000' for ip in seeds]),
            store=f'{store[0]}:{store[1]}',
            front=8005,
            ready=8002,
            control=8000,
            **PORTS,
        )
        self._path.write_text(text)

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['box']['run'].split()
        path = os.pathsep.join(filter(None, (str(ROOT / 'target/deps'),)))
        kept = ('PATH', 'HOME', 'LANG')
        environ = {k: os.environ[k] for k in kept if k in os.environ}
        environ |= {'PYTHONPATH': path, 'LANDINGSPOOL_BOOT': str(self._path)}
        with open(self._log, 'ab') as log:
            self.process = subprocess.Popen(
                command, stdout=log, stderr=log, env=environ, cwd=ROOT
            )

    async def wait_ready(self):
        """Wait until the balancer would send clients here."""
        async with asyncio.timeout(READY_S):
            while not await self._is_ready():
                await asyncio.sleep(0.1)

    async def _is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8002)
        except OSError:
            return False
        writer.write(b'GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
        line = await reader.readline()
        writer.close()
        return b' 200 ' in line

    def send(self, number):
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def close(self):
        """End the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


def pick_addresses(count):
    """Return loopback addresses on which the ports of a box are free."""
    for subnet in range(40 + os.getpid() % 150, 250):
        ips = [f'127.{subnet}.0.{number + 1}' for number in range(count)]
        if all(is_free(ip, port) for ip in ips for port in (8000, 8002, 8005)):
            return ips
    raise OSError('no free addresses for the boxes')


def is_free(ip, port):
    """Return whether a port can be listened on."""
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


async def start_boxes(count, store, folder):
    """Start boxes in the zones by turns, and wait until all are ready."""
    ips = pick_addresses(count)
    found = []
    for number, ip in enumerate(ips):
        zone = ZONES[number % len(ZONES)]
        name = f'front-{zone}-{number // len(ZONES) + 1}'
        found.append(Box(name, zone, ip, folder))
    try:
        for box in found:
            box.write_settings(ips[:3], store)
            box.start()
        await asyncio.gather(*(box.wait_ready() for box in found))
    except BaseException:
        for box in found:
            box.close()
        raise
    return found
