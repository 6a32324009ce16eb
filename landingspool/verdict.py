"""Verdict of each final answer on whether the request may have run.

The caller needs it to decide whether a retry is safe.  It is therefore part
of every answer, and is not derived from the status code.
"""

import enum


class Verdict(enum.StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'
