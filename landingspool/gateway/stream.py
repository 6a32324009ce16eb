"""A stream of events on its way to the caller, whole events only.

A target may break off within an event.  Only whole events are passed on,
so that the stream can be continued at another target after the last one.
"""

import re

from landingspool.platform import answers

BOUNDARY = re.compile(rb'\r?\n\r?\n')
# Bytes that an event may have: those of the deployments have some hundred.
MOST_EVENT = 1024 * 1024


class Endless(Exception):
    """An event is longer than any may be."""


class Stream:
    """The caller's side of one stream.

    Parameters
    ----------
    reply : listener.Reply
    status : int
    headers : list
        Of the first target that answered; they stay.

    Attributes
    ----------
    last_event : str
        Id of the last event passed on.
    events : bool
        Whether any event was passed on.
    noted : bool
        Whether the first event of the present target was noted.
    """

    def __init__(self, reply, status, headers):
        self._reply = reply
        self._status = status
        self._headers = headers
        self._held = b''
        self.last_event = ''
        self.events = False
        self.noted = False

    def restart(self):
        """Begin to take from another target."""
        self._held = b''
        self.noted = False

    async def take(self, data):
        """Pass on what is whole; returns a version that was told, or None.

        Raises
        ------
        Endless
        """
        held = self._held + data
        ends = [match.end() for match in BOUNDARY.finditer(held)]
        cut = ends[-1] if ends else 0
        self._held = held[cut:]
        if len(self._held) > MOST_EVENT:
            raise Endless(f'an event of over {MOST_EVENT} bytes')
        if not cut:
            return None
        whole = held[:cut]
        self._record_id(whole)
        if self._reply.started:
            await self._reply.send_data(whole)
        else:
            await self._reply.start(self._status, self._headers, whole)
        self.events = True
        return answers.find_event_version(whole)

    def is_whole(self):
        """Tell whether the target ended between two events."""
        return not self._held.strip()

    async def finish(self):
        """End the stream as complete."""
        if not self._reply.started:
            await self._reply.start(self._status, self._headers, b'')
        await self._reply.finish()

    def _record_id(self, whole):
        for line in reversed(whole.split(b'\n')):
            if line.startswith(b'id:'):
                self.last_event = line[3:].strip().decode('latin-1')
                return
