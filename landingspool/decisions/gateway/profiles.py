"""Learns how fast services and their targets are, from answers to requests.

Targets of one service may differ evenly: a third of the engines may take 1.3
times as long as the others.  That is too little to count as failing, but if
all are sent as much, the slower ones are the first to have a queue.  So the
choice of a target asks its profile: the figures of the service, and how much
slower or faster this target is than a typical one.

A box gets one answer of a given engine in some ten seconds.  So each box also
reports its answers in the digests that it sends anyway, a few bytes for each,
also those of ordinary targets: if only those were reported that seem to
differ, the mean of the reports would be wrong.  An answer counts only if the
request was not expected to wait, neither behind others nor for a transfer.

Everything learned is limited, fades, and ends with the target's incarnation;
without answers the prior holds.
"""

import collections
import math
import typing

from landingspool.decisions.gateway import peer_digests
from landingspool.decisions.gateway import service_figures
from landingspool.decisions.gateway import speed_factors

# Longest expected wait in seconds with which an answer counts: a fraction of
# the shortest time to a first byte.
MAX_WAIT_S = 0.02
# Longest time to a first byte that counts; a longer one is a failure's.
MAX_ANSWER_S = 2.0
# Seconds between two computations of all targets' factors.
PERIOD_S = 2.0
# Maximum number of answers reported in one digest, 11 bytes each.
MAX_REPORTED = 8
# Unit of the seconds in reports.
REPORT_UNIT_S = 1e-4


class Change(typing.NamedTuple):
    """A target that began or ceased to count as slower or faster."""

    target: str
    factor: float
    observations: float


class Figures(typing.NamedTuple):
    """What is learned of a service, for logs and metrics."""

    read_tokens_s: float
    base_s: float
    work_s: float
    answers: int
    slower: int
    faster: int


class Profiles:
    """The profiles of all targets, as one box has learned them."""

    def __init__(self):
        self._services = collections.defaultdict(service_figures.Service)
        self._evidence = {}
        self._profiles = {}
        self._factors = {}
        self._reported = []
        self._changes = []
        self._computed = -math.inf

    def get(self, name, service):
        """Return the Profile of a target of a service.

        Parameters
        ----------
        name : str
            Name of the target's incarnation.

        >>> Profiles().get('t', 's') == service_figures.PRIOR
        True
        """
        known = self._profiles.get(name)
        if known is None:
            key = peer_digests.hash_target(name)
            self._evidence.setdefault(
                key, speed_factors.Evidence(name, service)
            )
            known = self._profiles[name] = self._services[service].profile
        return known

    def get_service(self, service):
        """Return the Profile of a typical target of a service."""
        return self._services[service].profile

    def record(self, name, tokens, seconds, now):
        """Record the answer to a request of this box that did not wait.

        Parameters
        ----------
        tokens : int
            Prompt tokens that the target read; 0 for a plain request.
        seconds : float
            From sending the request to the first byte.
        """
        key = peer_digests.hash_target(name)
        self._add(key, tokens, seconds, now)
        if len(self._reported) < MAX_REPORTED:
            units = round(seconds / REPORT_UNIT_S)
            report = peer_digests.AnswerReport(key, tokens, units)
            self._reported.append(report)

    def take(self, report, now):
        """Record an answer that another box reports.

        Parameters
        ----------
        report : peer_digests.AnswerReport
        """
        seconds = report.units * REPORT_UNIT_S
        self._add(report.incarnation, report.tokens, seconds, now)

    def take_reports(self):
        """Return the answers to be reported, each for one digest only.

        The digest reaches some of the peers.  A repeated one would reach more
        of them, and some twice.
        """
        reported, self._reported = self._reported, []
        return tuple(reported)

    def take_changes(self):
        """Return the Changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def forget(self, name):
        """Forget an incarnation that has ended."""
        self._evidence.pop(peer_digests.hash_target(name), None)
        self._profiles.pop(name, None)
        self._factors.pop(name, None)

    def refresh(self, now):
        """Compute figures and factors anew if they are due."""
        if now - self._computed < PERIOD_S:
            return
        self._computed = now
        for service in self._services.values():
            service.fit(now)
        by_service = collections.defaultdict(list)
        for evidence in self._evidence.values():
            by_service[evidence.service].append(evidence)
        for service, rows in by_service.items():
            self._compute_factors(self._services[service].profile, rows, now)

    def describe(self):
        """Return the Figures of each service that has answered."""
        return {
            name: self._describe(name, service)
            for name, service in self._services.items()
            if service.answers
        }

    def _describe(self, name, service):
        profile = service.profile
        factors = [
            self._factors.get(evidence.name, 1.0)
            for evidence in self._evidence.values()
            if evidence.service == name
        ]
        return Figures(
            round(profile.read_tokens_s),
            round(profile.base_s, 4),
            round(profile.work_s, 4),
            len(service.answers),
            sum(factor > 1.0 for factor in factors),
            sum(factor < 1.0 for factor in factors),
        )

    def _add(self, key, tokens, seconds, now):
        known = self._evidence.get(key)
        if known is None or not is_plausible(tokens, seconds):
            return
        service = self._services[known.service]
        service.is_engine = service.is_engine or tokens > 0
        service.answers.append((tokens, seconds, now))
        if service.profile is service_figures.PRIOR:
            # The base time of the prior is not that of any service.
            return
        self._evidence[key] = speed_factors.add_answer(
            known, seconds / service.line.estimate(tokens), now
        )

    def _compute_factors(self, profile, rows, now):
        rows = [speed_factors.fade(row, now) for row in rows]
        was_uneven = any(
            self._factors.get(row.name, 1.0) != 1.0 for row in rows
        )
        spread = speed_factors.measure_spread(rows, was_uneven)
        for row in rows:
            before = self._factors.get(row.name, 1.0)
            factor = 1.0
            if spread is not None:
                factor = speed_factors.estimate_factor(row, spread)
            if (before != 1.0) != (factor != 1.0):
                self._changes.append(
                    Change(row.name, round(factor, 2), round(row.count, 1))
                )
            self._factors[row.name] = factor
            self._profiles[row.name] = service_figures.scale(profile, factor)


def is_telling(plan, work):
    """Return whether the answer to a request tells the speed of its target.

    It does not if the request was expected to wait behind others or for a
    transfer, nor if the target may load weights.

    Parameters
    ----------
    plan : plans.Plan
    work : plans.Work
    """
    if plan.wait_s > MAX_WAIT_S:
        return False
    if work.prompt is None:
        return True
    return plan.version is not None and plan.transfer.tokens <= plan.cached


def is_plausible(tokens, seconds):
    """Return whether an answer may be learned from.

    >>> is_plausible(100, 0.05), is_plausible(-1, 0.05), is_plausible(0, 9.0)
    (True, False, False)
    """
    return tokens >= 0 and 0.0 < seconds <= MAX_ANSWER_S
