"""What it costs a box to know which software began each stream.

``python -m bench.streams`` prints, by the number of boxes, the processor time
of a stream that begins and the bytes that go to its owners.
"""

import statistics
import sys
import time
import types

from landingspool.boxes import datagrams
from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import routes
from landingspool.decisions.gateway import view as view_module
from landingspool.gateway import continuity
from landingspool.gateway import deployment
from landingspool.gateway import metrics
from landingspool.gateway import registry
from landingspool import http

BOX_SIZES = (3, 30, 195)
DOMAINS = 3
STREAMS = 2000
NOW = 100.0
ROUTE = routes.Route(
    'r',
    'h',
    '/a/',
    routes.STREAM,
    15.0,
    0.4,
    1,
    (routes.Share('engine', 1.0),),
    resumable=True,
)


class Peers:
    """The other boxes; counts what is sent to them."""

    def __init__(self, boxes):
        self.sent = []
        self.peers = {
            f'front-zone-{n}': registry.Peer(
                f'front-zone-{n}',
                http.Address(f'10.0.{n // 250}.{n % 250}', 8002),
                f'd{n % DOMAINS}',
                owns_streams=True,
            )
            for n in range(1, boxes)
        }

    def send(self, message, address):
        """Encode a message as for a datagram."""
        self.sent.append(len(datagrams.encode(message)))


def make_hub(boxes, versions):
    """Return the parts of a box that has watched some versions for long."""
    view = view_module.View('d0', deployment.Bounds(), 1)
    view.software_history.confirm_list(NOW, is_first_start=True)
    for version in versions:
        view.software_history.record('engine', version, NOW)
    return types.SimpleNamespace(
        view=view,
        clock=lambda: NOW,
        peering=Peers(boxes),
        metrics=metrics.Metrics(),
        deployment=types.SimpleNamespace(box='front-zone-0', domain='d0'),
    )


def measure(boxes, versions):
    """Return the microseconds and the bytes of a stream that begins."""
    hub = make_hub(boxes, versions)
    kept = continuity.Continuity(hub)
    work = plans.Work('', ROUTE, 'engine', None, None, versions[-1])
    seconds = []
    for number in range(STREAMS):
        call = types.SimpleNamespace(name=f'{number:016x}', left_s=15.0)
        state = types.SimpleNamespace(call=call, work=work, started=NOW)
        start = time.perf_counter()
        kept.record_begun(state)
        seconds.append(time.perf_counter() - start)
    sent = hub.peering.sent
    return {
        'us': round(statistics.median(seconds) * 1e6, 1),
        'datagrams': len(sent) / STREAMS,
        'bytes': round(sum(sent) / STREAMS),
    }


def main():
    """Measure all sizes and print them."""
    for boxes in BOX_SIZES:
        print(f'{boxes:>4} boxes, one version ', measure(boxes, ('v1',)))
        print(f'{boxes:>4} boxes, two versions', measure(boxes, ('v1', 'v2')))
    return 0


if __name__ == '__main__':
    sys.exit(main())
