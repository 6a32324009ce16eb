"""Forward a stream of server-sent events to a caller, complete events only.

A target may break off within an event.  Only complete events are forwarded,
so that another target can continue the stream after the last one.
"""

import re

from landingspool.platform import answers

BOUNDARY = re.compile(rb'\r?\n\r?\n')
# Size limit of an event; events usually have some hundred bytes.
MAX_EVENT_BYTES = 1024 * 1024


class EventTooLong(Exception):
    """An event is longer than MAX_EVENT_BYTES."""


class Stream:
    """The caller's side of one stream.

    Parameters
    ----------
    reply : listener.Reply
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
        self._partial = b''
        self.last_event_id = ''
        self.first_recorded = False

    def restart(self):
        """Prepare for the events of another target."""
        self._partial = b''
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
        pending = self._partial + data
        ends = [match.end() for match in BOUNDARY.finditer(pending)]
        cut = ends[-1] if ends else 0
        self._partial = pending[cut:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLong(f'an event of over {MAX_EVENT_BYTES} bytes')
        return pending[:cut]

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

    def _record_id(self, complete):
        for line in reversed(complete.split(b'\n')):
            if line.startswith(b'id:'):
                self.last_event_id = line[3:].strip().decode('latin-1')
                return
