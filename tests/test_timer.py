"""The timer service calls each subscriber whatever the others do."""

import asyncio

import pytest

from landingspool import timer as timer_module


class Clock:
    """A clock that is set by hand, seconds."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        """Return the time."""
        return self.now


def fail(stall):
    """Raise an unexpected error."""
    raise ZeroDivisionError('made by the test')


def test_a_failing_stall_subscriber_stops_no_other():
    async def check():
        clock, errors, taken = Clock(), [], []
        timer = timer_module.Timer(
            clock, on_error=lambda name, error: errors.append((name, error))
        )
        timer.subscribe_stall(fail)
        timer.subscribe_stall(taken.append)
        clock.now = 5.0
        assert timer.now() == 5.0
        timer.close()
        assert [stall.now for stall in taken] == [5.0]
        ((name, error),) = errors
        assert 'fail' in name
        assert isinstance(error, ZeroDivisionError)

    asyncio.run(check())


def test_without_a_reporter_the_error_is_raised_after_all_were_called():
    async def check():
        clock, taken = Clock(), []
        timer = timer_module.Timer(clock)
        timer.subscribe_stall(fail)
        timer.subscribe_stall(taken.append)
        clock.now = 5.0
        with pytest.raises(ZeroDivisionError):
            timer.now()
        timer.close()
        assert len(taken) == 1

    asyncio.run(check())
