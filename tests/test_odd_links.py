"""Frames of a link whose stamp is that of no box."""

import cbor2
import pytest

from landingspool.boxes import link
from landingspool import events
from landingspool import metrics

STAMPS = {
    'long': [10**400, 0],
    'long_count': [5, 10**400],
    'negative': [-5, 0],
    'text': ['5', 0],
    'infinite': [float('inf'), 0],
    'short': [5],
    'number': 5,
    'null': None,
}


@pytest.mark.parametrize('name', STAMPS)
def test_an_odd_stamp_is_no_part_of_the_log(name):
    recorder = events.Recorder('one')
    links = link.Links(
        link.Identity('one', 'd', 'i1', 'secret'),
        lambda box: None,
        lambda sender, message: None,
        recorder,
        metrics.Metrics(),
        16,
    )
    with pytest.raises(link.BAD_FRAME_ERRORS):
        links._receive(None, cbor2.dumps([STAMPS[name], []]))
    event = recorder.record('log_up')
    assert recorder.select(1.0) == [event]
