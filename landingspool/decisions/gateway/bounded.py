"""Keeps ordered dicts of what was learnt to a number of rows."""


def trim(rows, most):
    """Forget the oldest rows of an ordered dict over so many."""
    while len(rows) > most:
        rows.popitem(last=False)
