"""Run the process of one box on the platform."""

import asyncio
import gc
import os
import signal
import sys

from landingspool import boot_clock
from landingspool.gateway import hub as hub_module
from landingspool import log_sink
from landingspool.platform import boot
from landingspool import settings

BAD_SETTINGS = 2
# New objects between two runs of the garbage collector, and runs between two
# for the next older generation.  Requests leave few cycles, and the indexes of
# cached context hold tens of thousands of objects that a run would scan.
GC_OBJECTS = 20_000
GC_OLDER = 20


async def serve(deployment):
    """Run one box until SIGTERM."""
    hub = hub_module.Hub(deployment, int.from_bytes(os.urandom(8)))
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(hub.supervisor.report_loop_error)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, hub.stop)
    loop.add_signal_handler(signal.SIGHUP, reload, hub)
    await hub.run()


def reload(hub):
    """Read the settings again and log what a restart would change."""
    deployment, errors = boot.load(boot.find_path())
    for error in errors:
        hub.recorder.record(
            'bad_settings', reason=settings.format_error(error)
        )
    changed = (
        [] if deployment is None else list_changes(hub.deployment, deployment)
    )
    hub.recorder.record('reloaded', changed=changed)


def list_changes(old, new):
    """List the fields in which two deployments differ."""
    return [
        name
        for name in old._fields
        if getattr(old, name) != getattr(new, name)
    ]


def main():
    """Run the box; returns the exit status."""
    deployment, errors = boot.load(boot.find_path())
    for error in errors:
        print(settings.format_error(error), file=sys.stderr)
    if errors:
        return BAD_SETTINGS
    log_sink.configure(deployment.box)
    # Imported objects live as long as the process; the garbage collector
    # need not scan them.
    gc.freeze()
    gc.set_threshold(GC_OBJECTS, GC_OLDER, GC_OLDER)
    gc.enable()
    boot_clock.run(serve(deployment))
    return 0
