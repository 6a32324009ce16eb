"""Reads from a connection to a target the answer that belongs to a request.

A target may send more than its answers: an answer a second time, at once or
late, in the place of the answer that is due.  Such surplus bytes belong to no
request.  Whose an answer is stands in its head, so nothing else of it is used
before that; the answer that is due follows a surplus one.
"""

from landingspool.platform import answers
from landingspool import response_reader

# Surplus answers before the one that is due, and their bytes, above which the
# connection is given up.
MAX_SURPLUS_ANSWERS = 4
MAX_SURPLUS_BYTES = 256 * 1024


class AnswerError(response_reader.ResponseError):
    """The answer that is due can't be told from those before it."""


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
        self._responses = response_reader.ResponseReader(connection)
        self._is_skipping = False
        self._skipped = response_reader.BodyCounter(MAX_SURPLUS_BYTES)
        self.surplus = 0

    def send(self, method, target, headers, body, is_last=False):
        """Send a complete request."""
        self._responses.send(method, target, headers, body, is_last)

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
        response_reader.ResponseError, OSError, h11.ProtocolError
        """
        while True:
            if self._is_skipping:
                await self._skip_body()
            event = await self._responses.read_head()
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
        response_reader.ResponseError, OSError, h11.ProtocolError
        """
        return await self._responses.read_data()

    @property
    def is_reusable(self):
        """Whether the connection may take another request.

        After a surplus answer others may follow.
        """
        responses = self._responses
        is_clean = responses.is_complete and not responses.has_unread
        return is_clean and not self.surplus

    async def _skip_body(self):
        """Read a surplus answer to its end, and prepare for the next one."""
        try:
            await response_reader.skip_body(self, self._skipped)
        except response_reader.ResponseTooLong as error:
            raise AnswerError(
                'too long an answer to another request'
            ) from error
        self._responses.expect_another()
        self._is_skipping = False
