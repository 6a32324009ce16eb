"""Stand-in for the clock of a process that stalls."""


class StallingClock:
    """Reads a loop's time, and jumps ahead at a chosen reading.

    A jump between two readings is what a process sees that was stopped
    between two statements.

    Parameters
    ----------
    read : callable
        Returns the time of the loop in seconds.
    """

    def __init__(self, read):
        self._read = read
        self._ahead_s = 0.0
        self._readings_left = None
        self._stall_s = 0.0

    def stall_at(self, reading, seconds):
        """Jump ahead by `seconds` at a reading, counted from 0."""
        self._readings_left = reading
        self._stall_s = seconds

    def __call__(self):
        """Return the time in seconds."""
        if self._readings_left is not None:
            self._readings_left -= 1
            if self._readings_left < 0:
                self._readings_left = None
                self._ahead_s += self._stall_s
        return self._read() + self._ahead_s
