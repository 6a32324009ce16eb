"""Reads the bodies of failures and rejections, whose status is known.

What follows from such an answer doesn't depend on its body, so one that is
too long or too slow is given up.
"""

from landingspool.gateway import upstream
from landingspool import response_reader
from landingspool import timeouts

# A failure is forwarded whole.
MAX_FAILURE_BYTES = 256 * 1024
# A rejection is read so that its connection can be used again, which isn't
# worth more of the request's time, seconds.
REJECTION_READ_S = 0.05
MAX_REJECTION_BYTES = 64 * 1024
# Errors by which a body has no proper end.
ERRORS = response_reader.ResponseTooLong, upstream.ExchangeError


async def read_failure(exchange, seconds):
    """Return the body of a failure, or None if it is given up.

    Parameters
    ----------
    exchange : upstream.Exchange
    seconds : float or None
        Time limit; None means no limit.

    Raises
    ------
    upstream.ExchangeError
        If the answer breaks off.
    """
    try:
        async with timeouts.Timeout(seconds):
            return await response_reader.read_body(exchange, MAX_FAILURE_BYTES)
    except (TimeoutError, response_reader.ResponseTooLong):
        return None


async def skip_rejection(exchange):
    """Read the body of a rejection to its end and drop it.

    Parameters
    ----------
    exchange : upstream.Exchange

    Raises
    ------
    TimeoutError
        If it takes too long.
    response_reader.ResponseTooLong
    upstream.ExchangeError
        If the answer breaks off.
    """
    counter = response_reader.BodyCounter(MAX_REJECTION_BYTES)
    async with timeouts.Timeout(REJECTION_READ_S):
        await response_reader.skip_body(exchange, counter)
