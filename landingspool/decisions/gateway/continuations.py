"""Decides where a stream goes on that a caller continues.

A box that relayed the stream, or was told of it, knows its binding.  Where
nobody knows it, it still follows if the service has had a single version for
as long as a stream may last.  Only a list of targets that was read after the
request came can tell: boxes that are out of step together have the same lists,
which may be older than the stream.  Otherwise the request is refused: a guess
would join what two versions wrote.
"""

import enum
import typing

from landingspool.decisions.gateway import stream_bindings


# Owners that agree with this box before the others are not waited for.
MIN_AGREEING = 2


class Source(enum.StrEnum):
    """How the binding of a stream is known."""

    # This box relayed the stream, or was told of it.
    SELF = 'self'
    # Another box was told of it.
    OWNER = 'owner'
    # The box that forwards the request knows it.
    FORWARDED = 'forwarded'
    # All streams of the route have the same binding.
    IMPLIED = 'implied'
    # They may have, but no list of targets is newer than the request.
    UNPROVED = 'unproved'
    UNKNOWN = 'unknown'
    # Streams of several bindings were begun under the same id.
    AMBIGUOUS = 'ambiguous'
    # The route doesn't lead to the service any more.
    MOVED = 'moved'


class Evidence(typing.NamedTuple):
    """What one box knows of a stream.

    Attributes
    ----------
    known : stream_bindings.Known or None
    only : stream_bindings.Binding or None
        The binding of all streams of the route, if the box can tell.
    recent : frozenset of stream_bindings.Binding
        The bindings that streams of the route may have.
    box : str
    list_s : float or None
        Age of its list of targets, seconds; None if it doesn't tell.
    is_current : bool
        Whether that list was read after the request came.
    """

    known: stream_bindings.Known | None
    only: stream_bindings.Binding | None
    recent: frozenset
    box: str = ''
    list_s: float | None = None
    is_current: bool = False

    @property
    def may_imply(self):
        """Whether it shows no two bindings."""
        return len(self.recent) <= 1

    @property
    def is_proof(self):
        """Whether no other binding can have escaped the box."""
        return self.only is not None and self.is_current

    def describe(self):
        """Return box, list (age, whether current) and versions, to log."""
        versions = sorted(binding.software for binding in self.recent)
        return [self.box, self.list_s, self.is_current, versions]


class Found(typing.NamedTuple):
    """Where a stream may go on.

    Attributes
    ----------
    binding : stream_bindings.Binding or None
        None: nowhere.
    source : Source
    known : stream_bindings.Known or None
    unanswered : int
        The owners that might have known more.
    evidence : tuple of Evidence
        What it follows from if no box knows the stream.
    """

    binding: stream_bindings.Binding | None
    source: Source
    known: stream_bindings.Known | None = None
    unanswered: int = 0
    evidence: tuple = ()

    @property
    def reason(self):
        """Why the stream is not continued, as callers are told."""
        return f'{self.source}_software'


def decide(own, others, asked):
    """Decide where a stream goes on.

    Parameters
    ----------
    own : Evidence
    others : sequence of Evidence
        That of the owners that have answered.
    asked : int
        The owners of the stream that were asked.

    Returns
    -------
    Found

    >>> one, two = (stream_bindings.Binding('s', v) for v in ('v1', 'v2'))
    >>> nothing = Evidence(None, None, frozenset((one, two)))
    >>> decide(nothing, (), 0).source.value
    'unknown'
    >>> told = nothing._replace(known=stream_bindings.Known(two, 0.0, 9.0))
    >>> decide(nothing, [nothing, told], 2).binding.software
    'v2'
    >>> watched = Evidence(None, one, frozenset((one,)))
    >>> decide(watched, [watched, watched], 2).source.value
    'unproved'
    >>> current = watched._replace(is_current=True)
    >>> decide(watched, [current], 2).source.value
    'implied'
    >>> decide(current, [nothing], 1).source.value
    'unknown'
    """
    if own.known is not None:
        return judge_known([own.known], Source.SELF)
    told = [row.known for row in others if row.known is not None]
    if told:
        return judge_known(told, Source.OWNER)
    unanswered = asked - len(others)
    rows = (own, *others)
    recent = frozenset().union(*(row.recent for row in rows))
    only = {row.only for row in rows} - {None}
    if len(recent) != 1 or only != recent:
        return Found(None, Source.UNKNOWN, None, unanswered, rows)
    if not any(row.is_proof for row in rows):
        return Found(None, Source.UNPROVED, None, unanswered, rows)
    return Found(*recent, Source.IMPLIED, None, unanswered, rows)


def is_certain(found, own, others):
    """Return whether further answers would not change what was found.

    What is implied is taken as certain once this box and several owners have
    seen a single version.
    """
    if found.source == Source.IMPLIED:
        return own.only is not None and len(others) >= MIN_AGREEING
    return found.source not in (Source.UNKNOWN, Source.UNPROVED)


def judge_known(told, source):
    """Return the Found of a stream that boxes know, if they agree."""
    bindings = {known.binding for known in told}
    known = max(told, key=lambda row: row.since)
    if len(bindings) > 1 or None in bindings:
        return Found(None, Source.AMBIGUOUS, known)
    return Found(*bindings, source, known)


def check_route(found, route):
    """Return what was found if the route still leads to the service.

    Parameters
    ----------
    found : Found
    route : routes.Route
    """
    if found.binding is None:
        return found
    if any(share.service == found.binding.service for share in route.shares):
        return found
    return found._replace(binding=None, source=Source.MOVED)
