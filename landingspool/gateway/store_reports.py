"""Report to operators which stores of cached context are believed slow."""


class StoreReports:
    """Log the stores that turn slow or recover, and set their gauges.

    Parameters
    ----------
    hub
        The box's parts: `view`, `recorder`, `metrics`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._slow = {}

    def check(self, now):
        """Report what has changed since the last check."""
        slow = self._hub.view.list_slow_stores(now)
        if not slow and not self._slow:
            return
        for store in slow.keys() - self._slow.keys():
            self._hub.recorder.record(
                'store_slow', store=store, delay_s=round(slow[store], 3)
            )
        for store in self._slow.keys() - slow.keys():
            self._hub.recorder.record('store_recovered', store=store)
        self._hub.metrics.record_store_delays(slow)
        self._slow = slow
