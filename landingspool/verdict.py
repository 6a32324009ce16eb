"""Whether a request may have run: the verdict that each final answer has.

The caller decides by it whether to send the request again, so it is part
of every answer and never guessed from a status code.
"""

import enum


class Verdict(enum.StrEnum):
    """What is known about the execution of a request."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'
