"""Fixture that makes the clock jump as if the machine was suspended."""

import time

import pytest

REAL_CLOCK = time.clock_gettime


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that makes the boot-time clock jump by seconds."""
    lost = []

    def read(kind):
        return REAL_CLOCK(kind) + (
            sum(lost) if kind == time.CLOCK_BOOTTIME else 0.0
        )

    monkeypatch.setattr(time, 'clock_gettime', read)
    return lost.append
