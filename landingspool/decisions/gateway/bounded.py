"""Limits the number of rows in ordered dicts of learned state."""


def trim(rows, max_rows):
    """Remove the oldest rows of an ordered dict that exceed `max_rows`."""
    while len(rows) > max_rows:
        rows.popitem(last=False)
