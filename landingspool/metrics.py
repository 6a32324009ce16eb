"""Prometheus metrics that one daemon exposes at /metrics."""

import prometheus_client as prometheus

FIRST_TOKEN_BUCKETS = (
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    1.4,
    2.0,
    5.0,
    15.0,
)


class Metrics:
    """All metrics of one process, in a separate registry."""

    def __init__(self):
        self.registry = prometheus.CollectorRegistry()
        self.answers = self._count(
            'answers', 'Final answers', ('workspace', 'outcome', 'verdict')
        )
        self.tokens = self._count(
            'prompt_tokens', 'Prompt tokens', ('workspace', 'source')
        )
        self.output = self._count(
            'output_tokens', 'Output tokens', ('workspace',)
        )
        self.retries = self._count(
            'retries', 'Requests tried again', ('reason',)
        )
        self.link_bytes = self._count(
            'link_bytes', 'Bytes between boxes', ('message', 'direction')
        )
        self.link_dropped = self._count(
            'link_dropped', 'Messages dropped by a full queue', ('message',)
        )
        self.store_bytes = self._count(
            'store_bytes',
            'Bytes of kept context',
            ('workspace', 'direction'),
        )
        self.task_failures = self._count(
            'task_failures', 'Unhandled errors of tasks', ('task',)
        )
        self.first_token = prometheus.Histogram(
            'landingspool_first_token_seconds',
            'Time to first token',
            ('workspace',),
            buckets=FIRST_TOKEN_BUCKETS,
            registry=self.registry,
        )
        self.open = prometheus.Gauge(
            'landingspool_open_requests',
            'Requests that this box owns',
            registry=self.registry,
        )
        self.offset = prometheus.Gauge(
            'landingspool_configuration_offset',
            'Offset of the configuration in force',
            registry=self.registry,
        )

    def render(self):
        """Return the text of /metrics."""
        return prometheus.generate_latest(self.registry)

    def _count(self, name, text, labels):
        return prometheus.Counter(
            f'landingspool_{name}', text, labels, registry=self.registry
        )
