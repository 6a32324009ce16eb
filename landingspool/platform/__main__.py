"""Runs one box on the platform: `python3 -m landingspool.platform`."""

import gc
import sys


def main():
    """Import and run the box; returns the exit status."""
    # What is imported stays, so that a collection meanwhile finds no garbage;
    # collections are a quarter of the time of a start.
    gc.disable()
    from landingspool.gateway import process

    return process.main()


if __name__ == '__main__':
    sys.exit(main())
