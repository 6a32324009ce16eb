"""Makes it last under which requests targets ended, and logs it.

What boxes tell each other is gone with them; what bars a request is written
into the platform's store besides, where a box that starts, or comes back
from a cut, reads it.
"""

import asyncio
import typing

from landingspool.decisions.gateway import peer_digests
from landingspool.platform import catalogue
from landingspool.platform import names
from landingspool.platform import store as store_module

# Seconds that a box leaves to each one before it, in the hash order of all,
# to write what all of them know: one does, and the others read it in some ms.
TURN_S = 0.5
# Seconds for which a write that failed waits at most for the store's return.
AWAY_S = 5.0


class Due(typing.NamedTuple):
    """A record to be written, unless another box has done so by then."""

    value: bytes
    at: float


class CrashRecords:
    """The lasting part of what endings.Crashes knows.

    Parameters
    ----------
    hub
        The box's parts: `view`, `store`, `recorder`, `clock`, `wall`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._endings = hub.view.endings
        self._due = {}
        self._written = {}
        self._wake = asyncio.Event()

    def check(self):
        """Log what is new, and have it written."""
        endings = self._endings
        for fingerprint in pop_all(endings.fresh):
            self._record_barred(fingerprint)
        for fingerprint in pop_all(endings.lifted):
            self._hub.recorder.record('bar_lifted', content=fingerprint.hex())
            self._put(fingerprint, b'')

    def take(self, record):
        """Take in what a box has written; an empty value lifts a bar."""
        now = self._hub.clock()
        key = record.key.removeprefix(names.CRASHES_KEY)
        self._written[key] = record.value
        try:
            if record.value:
                words = catalogue.read_crashes(
                    key, record.value, self._hub.wall()
                )
            else:
                fingerprint = bytes.fromhex(key)
                words = [
                    peer_digests.CrashNotice(
                        fingerprint, peer_digests.NO_INCARNATION, 0
                    )
                ]
        except (catalogue.Malformed, ValueError) as error:
            self._hub.recorder.record(
                'malformed', key=record.key, reason=str(error)
            )
            return
        for word in words:
            self._endings.take(word, now)
        self.check()

    def list_due(self):
        """List what is still to be written, by its key."""
        return list(self._due)

    async def run(self):
        """Write what is due, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._due:
                key = min(self._due, key=lambda row: self._due[row].at)
                await self._write(key, self._due[key])

    def _record_barred(self, fingerprint):
        now = self._hub.clock()
        words = self._endings.list_notices(fingerprint, now)
        lives = self._hub.view.fleet.list_incarnations()
        found = {peer_digests.hash_target(name): name for name in lives}
        self._hub.recorder.record(
            'barred',
            content=fingerprint.hex(),
            targets=[found.get(word.life, word.life) for word in words],
            ages_ms=[word.age_ms for word in words],
        )
        wall = self._hub.wall()
        self._put(fingerprint, catalogue.write_crashes(words, wall))

    def _put(self, fingerprint, value):
        key = fingerprint.hex()
        turn = self._hub.peering.get_rank(key)
        self._due[key] = Due(value, self._hub.clock() + turn * TURN_S)
        self._wake.set()

    async def _write(self, key, due):
        """Write one record when its turn has come, if it is still wanted."""
        left_s = due.at - self._hub.clock()
        if left_s > 0:
            await asyncio.sleep(min(left_s, TURN_S))
        elif not self._is_written(key, due.value):
            reply = await self._hub.store.append(
                names.CLAIMS_TOPIC, f'{names.CRASHES_KEY}{key}', due.value
            )
            if isinstance(reply, store_module.Unavailable):
                await self._hub.sources.wait_answered(AWAY_S)
                return
            self._written[key] = due.value
        if self._is_written(key, due.value) and self._due.get(key) == due:
            del self._due[key]

    def _is_written(self, key, value):
        return bool(self._written.get(key)) == bool(value)


def pop_all(rows):
    """Empty a list; gives what it held."""
    taken = list(rows)
    rows.clear()
    return taken
