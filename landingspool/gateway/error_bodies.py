"""Reads the bodies of failures and rejections, whose status is known.

What follows from such an answer doesn't depend on its body, so one that is
too long or too slow is given up.
"""

from landingspool import response_reader
from landingspool import timeouts

# A failure is forwarded whole.
MAX_FAILURE_BYTES = 256 * 1024


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
