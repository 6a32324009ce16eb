"""Reads from a connection to a target the answer that belongs to a request.

A target may send more than its answers: an answer a second time, at once or
late, in the place of the answer that is due.  Such surplus bytes belong to no
request.  Whose an answer is stands in its head, so nothing else of it is used
before that; the answer that is due follows a surplus one.
"""

import h11

from landingspool.platform import answers

MAX_HEAD_BYTES = 32 * 1024
# Surplus answers before the one that is due, and their bytes, above which the
# connection is given up.
MAX_SURPLUS_ANSWERS = 4
MAX_SURPLUS_BYTES = 256 * 1024


class AnswerError(Exception):
    """No answer to the request can be read from the connection any more."""


class AnswerReader:
    """Writes one request to a connection and reads its answer.

    A read that is cancelled can be repeated: nothing is lost by it.

    Parameters
    ----------
    connection : connection.Connection

    Attributes
    ----------
    surplus : int
        Number of answers in the place of the one that is due.
    """

    def __init__(self, connection):
        self._connection = connection
        self._codec = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._request = ()
        self._is_skipping = False
        self._skipped_bytes = 0
        self.surplus = 0

    def send(self, method, target, headers, body):
        """Send a complete request."""
        self._request = (
            h11.Request(method=method, target=target, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        self._connection.write(self._encode_request())

    async def read_head(self, is_due):
        """Read the head of the answer that is due.

        Parameters
        ----------
        is_due : callable
            ``is_due(head)`` returns whether an answer belongs to the request.

        Returns
        -------
        answers.Head

        Raises
        ------
        AnswerError, OSError, h11.ProtocolError
        """
        while True:
            if self._is_skipping:
                await self._skip_body()
            event = await self._next()
            while isinstance(event, h11.InformationalResponse):
                event = await self._next()
            if not isinstance(event, h11.Response):
                raise AnswerError('closed before an answer')
            head = answers.read_head(event.status_code, list(event.headers))
            if is_due(head):
                return head
            self.surplus += 1
            self._is_skipping = True
            if self.surplus > MAX_SURPLUS_ANSWERS:
                raise AnswerError('too many answers to other requests')

    async def read_data(self):
        """Return the next bytes of the body; b'' at its complete end.

        Raises
        ------
        AnswerError, OSError, h11.ProtocolError
        """
        event = await self._next()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b''
        raise AnswerError('the answer was cut off')

    @property
    def is_reusable(self):
        """Whether the connection may take another request.

        After a surplus answer others may follow.
        """
        codec = self._codec
        is_framed = (
            codec.our_state is h11.DONE and codec.their_state is h11.DONE
        )
        return is_framed and not codec.trailing_data[0] and not self.surplus

    def _encode_request(self):
        return b''.join(map(self._codec.send, self._request))

    async def _skip_body(self):
        """Read a surplus answer to its end, and prepare for the next one."""
        while data := await self.read_data():
            self._skipped_bytes += len(data)
            if self._skipped_bytes > MAX_SURPLUS_BYTES:
                raise AnswerError('too long an answer to another request')
        unread, _ = self._codec.trailing_data
        self._codec = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        # How an answer is framed depends on its request.
        self._encode_request()
        if unread:
            self._codec.receive_data(unread)
        self._is_skipping = False

    async def _next(self):
        while True:
            event = self._codec.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._codec.receive_data(await self._connection.read())
