"""Prometheus metrics of the gateway: counters, gauges and histograms."""

import collections

import prometheus_client as prometheus

from landingspool.decisions.gateway import fair_admission

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0)


class Metrics:
    """All metrics of one gateway process, in a registry of their own."""

    def __init__(self):
        self.registry = prometheus.CollectorRegistry()
        self.answers = self._make_counter(
            'answers', 'Final answers', ('status', 'reason')
        )
        self.connections = self._make_counter(
            'connections', 'New connections to targets and for forwarding'
        )
        self.repeats = self._make_counter('repeats', 'Requests sent again')
        self.budget_refusals = self._make_counter(
            'budget_refusals', 'Repeats that the budget did not allow'
        )
        self.losses = self._make_counter(
            'losses', 'Tries whose answer did not come whole', ('cause',)
        )
        self.surplus_answers = self._make_counter(
            'surplus_answers', 'Answers of targets that belong to no request'
        )
        self.continuations = self._make_counter(
            'continuations',
            'Streams that callers continue, by how their binding is known',
            ('source',),
        )
        self.list_renewals = self._make_counter(
            'list_renewals',
            'Reads of the newest targets for streams that callers continue',
            ('outcome',),
        )
        self.stream_records = self._make_counter(
            'stream_records', 'Records of streams sent to their owners'
        )
        self.faults = self._make_counter(
            'faults', 'Requests whose handling raised an error'
        )
        self.task_failures = self._make_counter(
            'task_failures', 'Unhandled errors of tasks', ('task',)
        )
        self.unanswered = self._make_counter(
            'unanswered', 'Requests that were read and got no whole answer'
        )
        self.closed_connections = self._make_counter(
            'closed_connections', 'Connections of callers', ('reason',)
        )
        self.out_of_room = self._make_counter(
            'out_of_room',
            'Requests refused, or connections closed, for lack of memory',
            ('reason',),
        )
        self.held = self._make_gauge(
            'held',
            'What callers make this box hold: bytes, or connections',
            ('kind',),
        )
        self.log_rollbacks = self._make_counter(
            'log_rollbacks',
            'Times that a topic had lost records that were read',
            ('topic',),
        )
        self.orders = self._make_counter(
            'orders', 'Orders to targets by outcome', ('outcome',)
        )
        self.forwards = self._make_counter(
            'forwards', 'Requests forwarded to other boxes', ('outcome',)
        )
        self.served_peers = self._make_counter(
            'served_peers', 'Answers to other boxes', ('status',)
        )
        # The same for the log, since the start.
        self.forward_counts = collections.Counter()
        self.served_peer_counts = collections.Counter()
        self.cold = self._make_gauge(
            'cold_targets', 'Targets that count as cold'
        )
        self.evacuated = self._make_gauge(
            'evacuated_seconds',
            'Since when a failure domain is evacuated',
            ('domain',),
        )
        self.quarantined = self._make_gauge(
            'barred_requests',
            'Requests and parts not sent, since targets crash under them',
        )
        self.quarantine_refusals = self._make_counter(
            'quarantine_refusals',
            'Requests refused since targets may crash under them',
            ('reason',),
        )
        self.advertised_limits = self._make_gauge(
            'target_limit_per_second',
            'Requests that a target takes from all boxes',
            ('target',),
        )
        self.limit_ages = self._make_gauge(
            'target_limit_age_seconds',
            'Since when the target was last heard to name it',
            ('target',),
        )
        self.limits_used = self._make_gauge(
            'target_limit_used_per_second',
            'Requests that this box sent the target in the last window',
            ('target',),
        )
        self.leaving_ages = self._make_gauge(
            'target_leaving_age_seconds',
            'Since when a target is known to have said that it leaves',
            ('target',),
        )
        self.backoffs_left = self._make_gauge(
            'target_rest_left_seconds',
            'For how much longer a target wants nothing of this box',
            ('target',),
        )
        self.speeds = self._make_gauge(
            'service_speed',
            'What this box has learned of the targets of a service',
            ('service', 'figure'),
        )
        self.partitioned = self._make_gauge(
            'engines_parted', '1 while engines are parted by reading size'
        )
        self.store_delays = self._make_gauge(
            'store_delay_seconds',
            'Delay of fetches from a store that is believed slow',
            ('store',),
        )
        self.declined_parts = self._make_counter(
            'parts_read_instead',
            'Parts that were read, since their store is slow',
        )
        self.share_refusals = self._make_counter(
            'share_refusals',
            'Refusals for overload by whether the workspace exceeds its share',
            ('service', 'over_share'),
        )
        self.workspaces_over = self._make_gauge(
            'workspaces_over_share',
            'Workspaces over their share of a service that refuses requests',
            ('service',),
        )
        self.waiting = self._make_gauge(
            'waiting_requests', 'Requests that wait for room at a service'
        )
        self.waited = self._make_counter(
            'waited', 'Requests that waited for room', ('outcome',)
        )
        self.returns = self._make_counter(
            'returns', 'Answers to callers back after a refusal', ('outcome',)
        )
        self.spilled = self._make_gauge(
            'spilled_requests',
            'Requests sent to another group than the own one, since the start',
            ('reason', 'to'),
        )
        self.group_sizes = self._make_gauge(
            'group_size',
            'Engines and boxes of the group of this box',
            ('service', 'of'),
        )
        self.balanced = self._make_gauge(
            'group_balanced_share',
            'Share of the requests that goes to less loaded groups',
            ('service',),
        )
        self.group_requests = self._make_gauge(
            'group_requests',
            'Requests at the engines of another group, as reported',
            ('service', 'group'),
        )
        self.seconds = self._make_histogram(
            'answer', 'Time to the whole answer'
        )
        self.first = self._make_histogram(
            'first_byte', 'Time to the first byte'
        )

    def record_answer(self, answer, seconds, first_s):
        """Count a final answer.

        Parameters
        ----------
        answer : refusals.Answer
        seconds : float
            From the arrival of the request to the end of its answer.
        first_s : float or None
            From its arrival to the first byte of the answer; None: no byte.
        """
        self.answers.labels(str(answer.status), answer.reason[:40]).inc()
        self.seconds.observe(seconds)
        if first_s is not None:
            self.first.observe(first_s)

    def record_room(self, held):
        """Record what callers make this box hold.

        Parameters
        ----------
        held : dict of str to int
            By kind.
        """
        for kind, size in held.items():
            self.held.labels(kind).set(size)

    def record_forward(self, outcome):
        """Count an attempt to have another box serve a request."""
        self.forwards.labels(outcome).inc()
        self.forward_counts[outcome] += 1

    def record_served_peer(self, answer):
        """Count the answer to a request that another box has forwarded."""
        status = str(answer.status)
        self.served_peers.labels(status).inc()
        self.served_peer_counts[status] += 1

    def record_return(self, answer):
        """Count the answer to a caller that came back after a refusal.

        Parameters
        ----------
        answer : refusals.Answer
        """
        served = 200 <= answer.status < 300
        self.returns.labels('served' if served else answer.reason[:40]).inc()

    def record_targets(self, cold, evacuated, partitioned):
        """Update the gauges of what excludes targets from requests.

        Parameters
        ----------
        cold : int
            Targets that count as cold.
        evacuated : dict of str to float
            Seconds since notice of each evacuation was received, by domain.
        partitioned : bool
            Whether engines are split by the size of prompts.
        """
        self.cold.set(cold)
        self.evacuated.clear()
        for domain, seconds in evacuated.items():
            self.evacuated.labels(domain).set(seconds)
        self.partitioned.set(partitioned)

    def record_share_refusal(self, service, excess):
        """Count a refusal for overload by the excess of its workspace."""
        over = 'yes' if excess > fair_admission.MIN_EXCESS else 'no'
        self.share_refusals.labels(service, over).inc()

    def record_workspaces(self, counts):
        """Update the gauge of workspaces over their share.

        Parameters
        ----------
        counts : dict of str to int
            By the name of the service.
        """
        self.workspaces_over.clear()
        for service, count in counts.items():
            self.workspaces_over.labels(service).set(count)

    def record_groups(self, groups, spilled):
        """Update the gauges of groups of engines.

        Parameters
        ----------
        groups : dict of str to dict
            As grouping.Grouping.describe.
        spilled : dict of tuple to int
            Requests that left their group, by reason and destination.
        """
        for gauge in (self.group_sizes, self.balanced, self.group_requests):
            gauge.clear()
        for service, row in groups.items():
            for of in ('engines', 'boxes'):
                self.group_sizes.labels(service, of).set(row[of])
            self.balanced.labels(service).set(row['balanced'])
            for group, (_, requests) in row['others'].items():
                self.group_requests.labels(service, group).set(requests)
        for (reason, to), count in spilled.items():
            self.spilled.labels(reason, to).set(count)

    def record_limits(self, advertised, used, now):
        """Update the gauges of the limits that targets advertise.

        Parameters
        ----------
        advertised : dict of str to limits.Known
            By the name of the target's incarnation.
        used : dict of str to float
            Requests a second that this box sent, by the same names.
        now : float
            Boot-time clock, seconds.
        """
        for gauge in (
            self.advertised_limits,
            self.limit_ages,
            self.limits_used,
        ):
            gauge.clear()
        for name, known in advertised.items():
            self.advertised_limits.labels(name).set(known.per_s)
            self.limit_ages.labels(name).set(now - known.heard)
            self.limits_used.labels(name).set(used[name])

    def record_leaving(self, ages_s):
        """Update the gauges of the targets that have announced to leave.

        Parameters
        ----------
        ages_s : dict of str to float
            Seconds since the notice, by the name of the incarnation.
        """
        self.leaving_ages.clear()
        for name, age_s in ages_s.items():
            self.leaving_ages.labels(name).set(age_s)

    def record_backoffs(self, left_s):
        """Update the gauges of targets that asked this box for a back-off.

        Parameters
        ----------
        left_s : dict of str to float
            Seconds left of it, by the name of the incarnation.
        """
        self.backoffs_left.clear()
        for name, seconds in left_s.items():
            self.backoffs_left.labels(name).set(seconds)

    def record_store_delays(self, delays_s):
        """Update the gauges of the stores that are believed slow.

        Parameters
        ----------
        delays_s : dict of str to float
            Seconds by the address of the store.
        """
        self.store_delays.clear()
        for address, delay_s in delays_s.items():
            self.store_delays.labels(address).set(delay_s)

    def record_speeds(self, speeds):
        """Update the gauges of the figures learned of each service.

        Parameters
        ----------
        speeds : dict of str to profiles.Figures
            By the name of the service.
        """
        self.speeds.clear()
        for service, figures in speeds.items():
            for name, value in figures._asdict().items():
                self.speeds.labels(service, name).set(value)

    def render(self):
        """Return the metrics in the text format of Prometheus."""
        return prometheus.generate_latest(self.registry)

    def _make_counter(self, name, text, labels=()):
        return prometheus.Counter(
            f'landingspool_gateway_{name}',
            text,
            labels,
            registry=self.registry,
        )

    def _make_gauge(self, name, text, labels=()):
        return prometheus.Gauge(
            f'landingspool_gateway_{name}',
            text,
            labels,
            registry=self.registry,
        )

    def _make_histogram(self, name, text):
        return prometheus.Histogram(
            f'landingspool_gateway_{name}_seconds',
            text,
            buckets=BUCKETS_S,
            registry=self.registry,
        )
