"""Forward a stream of server-sent events to a caller, complete events only.

A target may break off within an event.  Only complete events are forwarded,
so that another target can continue the stream after the last one.
"""

import re

from landingspool.platform import answers
from landingspool import response_reader

BOUNDARY = re.compile(rb'\r?\n\r?\n')
# Size limit of an event; events usually have some hundred bytes.  Very small
# parts count for more.
MAX_EVENT_BYTES = 1024 * 1024
# Length of the longest boundary less one.
BOUNDARY_REST_BYTES = 3


class EventTooLong(Exception):
    """An event is longer than MAX_EVENT_BYTES."""


class Stream:
    """The caller's side of one stream.

    Parameters
    ----------
    reply : replies.Reply
    status : int
    headers : list
        Those of the first target that answered; later ones are dropped.

    Attributes
    ----------
    last_event_id : str
        Id of the last event forwarded.
    first_recorded : bool
        Whether the first event of the current target was recorded.
    """

    def __init__(self, reply, status, headers):
        self._reply = reply
        self._status = status
        self._headers = headers
        self._partial = bytearray()
        self._counted_bytes = 0
        self.last_event_id = ''
        self.first_recorded = False

    def restart(self):
        """Prepare for the events of another target."""
        self._partial = bytearray()
        self._counted_bytes = 0
        self.first_recorded = False

    def cut_events(self, data):
        """Return the events that are complete, and keep the rest.

        Returns
        -------
        bytes

        Raises
        ------
        EventTooLong
        """
        pending = self._partial
        # What was received before holds no boundary.
        start = max(len(pending) - BOUNDARY_REST_BYTES, 0)
        pending += data
        cut = 0
        for match in BOUNDARY.finditer(pending, start):
            cut = match.end()
        complete = bytes(pending[:cut])
        del pending[:cut]
        self._count(data, complete)
        return complete

    async def send(self, complete):
        """Forward complete events.

        Returns
        -------
        int or None
            Version of the target's weights, if the events name one.
        """
        self._record_id(complete)
        if self._reply.started:
            await self._reply.send_data(complete)
        else:
            await self._reply.start(self._status, self._headers, complete)
        return answers.read_event_version(complete)

    def is_complete(self):
        """Return whether the last event that was received is complete."""
        return not self._partial.strip()

    async def finish(self):
        """End the answer as complete."""
        if not self._reply.started:
            await self._reply.start(self._status, self._headers, b'')
        await self._reply.finish()

    def _count(self, data, complete):
        """Count the bytes of the event that isn't complete."""
        if complete:
            self._counted_bytes = len(self._partial)
        else:
            self._counted_bytes += max(
                len(data), response_reader.MIN_PART_BYTES
            )
        if self._counted_bytes > MAX_EVENT_BYTES:
            raise EventTooLong(f'an event of over {MAX_EVENT_BYTES} bytes')

    def _record_id(self, complete):
        for line in reversed(complete.split(b'\n')):
            if line.startswith(b'id:'):
                self.last_event_id = line[3:].strip().decode('latin-1')
                return
