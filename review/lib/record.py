"""The record of a case."""

import time


class Record:
    """Collects what happens; writes it in order of time to a file.

    Parameters
    ----------
    path : pathlib.Path
    """

    def __init__(self, path):
        self._began = time.monotonic()
        self._path = path
        self._rows = []

    def add(self, text, at=None):
        """Add one line; `at` is its moment on the steady clock, if past."""
        seconds = (at or time.monotonic()) - self._began
        self._rows.append((seconds, len(self._rows), text))

    def write(self):
        """Write the file."""
        lines = [f'{at:8.3f} {text}\n' for at, _, text in sorted(self._rows)]
        self._path.write_text(''.join(lines))
