"""Tell the parts of a box that a topic in the store was rolled back.

A store that comes back from a copy lacks its newest records and gives their
offsets out again.  Whichever call shows it, each part that goes by offsets or
by what it has written learns of it here.
"""

import collections


class Rollbacks:
    """Logs and counts the rollbacks of topics, and tells subscribers.

    Parameters
    ----------
    hub
        The box's parts: `recorder`, `metrics`, `supervisor`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._subscribers = collections.defaultdict(list)
        self._finishers = collections.defaultdict(list)

    def subscribe(self, topic, take):
        """Call ``take(rollback)`` with each store.RolledBack of a topic."""
        self._subscribers[topic].append(take)

    def subscribe_end(self, topic, finish):
        """Call ``finish()`` once a topic was read again after a rollback."""
        self._finishers[topic].append(finish)

    def finish(self, topic):
        """Tell that the newest records after a rollback are applied."""
        for finish in self._finishers[topic]:
            self._hub.supervisor.guard('rollbacks', finish)

    def report(self, rollback):
        """Report that a topic was rolled back.

        Parameters
        ----------
        rollback : store.RolledBack
        """
        self._hub.recorder.record(
            'log_rolled_back',
            topic=rollback.topic,
            known=rollback.known,
            found=rollback.found,
            noticed=rollback.noticed,
        )
        self._hub.metrics.log_rollbacks.labels(rollback.topic).inc()
        for take in self._subscribers[rollback.topic]:
            self._hub.supervisor.guard('rollbacks', take, rollback)
