"""Counters and latency histograms of the gateway."""

import prometheus_client as prometheus

SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0)


class Figures:
    """All figures of one gateway process, in a registry of their own."""

    def __init__(self):
        self.registry = prometheus.CollectorRegistry()
        self.answers = self._count(
            'answers', 'Final answers', ('status', 'reason')
        )
        self.connections = self._count(
            'connections', 'New connections to targets'
        )
        self.repeats = self._count('repeats', 'Requests sent again')
        self.budget_refusals = self._count(
            'budget_refusals', 'Repeats that the budget did not allow'
        )
        self.losses = self._count(
            'losses', 'Tries whose answer did not come whole', ('cause',)
        )
        self.faults = self._count(
            'faults', 'Requests whose handling raised an error'
        )
        self.orders = self._count(
            'orders', 'Orders to targets by outcome', ('outcome',)
        )
        self.cold = self._gauge('cold_targets', 'Targets that count as cold')
        self.evacuated = self._gauge(
            'evacuated_seconds',
            'Since when a failure domain is evacuated',
            ('domain',),
        )
        self.barred = self._gauge(
            'barred_requests', 'Requests not sent, since targets end by them'
        )
        self.limited = self._gauge(
            'target_limit_per_second',
            'Requests that a target takes from all boxes',
            ('target',),
        )
        self.limit_ages = self._gauge(
            'target_limit_age_seconds',
            'Since when the target was last heard to name it',
            ('target',),
        )
        self.limits_used = self._gauge(
            'target_limit_used_per_second',
            'Requests that this box sent the target in the last window',
            ('target',),
        )
        self.leaving_ages = self._gauge(
            'target_leaving_age_seconds',
            'Since when a target is known to have said that it leaves',
            ('target',),
        )
        self.rests_left = self._gauge(
            'target_rest_left_seconds',
            'For how much longer a target wants nothing of this box',
            ('target',),
        )
        self.parted = self._gauge(
            'engines_parted', '1 while engines are parted by reading size'
        )
        self.seconds = self._observe('answer', 'Time to the whole answer')
        self.first = self._observe('first_byte', 'Time to the first byte')

    def record_answer(self, answer, seconds, first_s):
        """Count a final answer."""
        self.answers.labels(str(answer.status), answer.reason[:40]).inc()
        self.seconds.observe(seconds)
        if first_s is not None:
            self.first.observe(first_s)

    def record_targets(self, cold, evacuated, parted):
        """Note what keeps requests from targets.

        Parameters
        ----------
        cold : int
            Targets that count as cold.
        evacuated : dict of str to float
            Seconds since each evacuation was heard of, by domain.
        parted : bool
            Whether engines are parted by the size of what they read.
        """
        self.cold.set(cold)
        self.evacuated.clear()
        for domain, seconds in evacuated.items():
            self.evacuated.labels(domain).set(seconds)
        self.parted.set(parted)

    def record_limits(self, named, used, now):
        """Note which targets name a limit.

        Parameters
        ----------
        named : dict of str to limits.Known
            By the name of the target's life.
        used : dict of str to float
            Requests a second that this box sent there, likewise.
        """
        for gauge in (self.limited, self.limit_ages, self.limits_used):
            gauge.clear()
        for name, known in named.items():
            self.limited.labels(name).set(known.per_s)
            self.limit_ages.labels(name).set(now - known.heard)
            self.limits_used.labels(name).set(used[name])

    def record_leaving(self, ages_s):
        """Note which targets have said that they leave.

        Parameters
        ----------
        ages_s : dict of str to float
            Seconds since then, by the name of the target's life.
        """
        self.leaving_ages.clear()
        for name, age_s in ages_s.items():
            self.leaving_ages.labels(name).set(age_s)

    def record_backoffs(self, left_s):
        """Note which targets have asked this box for rest.

        Parameters
        ----------
        left_s : dict of str to float
            Seconds of it left, by the name of the target's life.
        """
        self.rests_left.clear()
        for name, seconds in left_s.items():
            self.rests_left.labels(name).set(seconds)

    def render(self):
        """Give the text of the metrics address."""
        return prometheus.generate_latest(self.registry)

    def _count(self, name, text, labels=()):
        return prometheus.Counter(
            f'landingspool_gateway_{name}',
            text,
            labels,
            registry=self.registry,
        )

    def _gauge(self, name, text, labels=()):
        return prometheus.Gauge(
            f'landingspool_gateway_{name}',
            text,
            labels,
            registry=self.registry,
        )

    def _observe(self, name, text):
        return prometheus.Histogram(
            f'landingspool_gateway_{name}_seconds',
            text,
            buckets=SECONDS,
            registry=self.registry,
        )
