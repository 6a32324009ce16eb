"""Log lines never hold the process up, and say what was left out."""

import json
import os

from landingspool.command import logs
from landingspool import log_sink


class Message(str):
    """A line as loguru hands it to a sink."""

    def __new__(cls, text, level):
        message = super().__new__(cls, text)
        message.record = {'level': Level(level)}
        return message


class Level:
    """A level of loguru."""

    def __init__(self, name):
        self.name = name


class Clock:
    """A clock that a test moves."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def test_a_full_pipe_costs_lines_and_not_time():
    read_end, write_end = os.pipe()
    clock = Clock()
    sink = log_sink.LogSink(write_end, 'b', clock)
    line = 'x' * 4095 + '\n'
    for _ in range(100):
        sink.write(Message(line, 'INFO'))
    assert sink.lost > 0
    lost = sink.lost
    taken = os.read(read_end, 1 << 20)
    clock.now = 1.5
    sink.write(Message('after\n', 'INFO'))
    rest = os.read(read_end, 1 << 20)
    rows = (taken + rest).decode().split('\n')
    record = [json.loads(r) for r in rows if r.startswith('{')]
    assert record[0]['full'] == lost
    assert rows[-2] == 'after'
    # No line is mingled with another one.
    assert {len(row) for row in rows if row.startswith('x')} == {4095}


def test_usual_lines_are_bounded_and_failures_are_not():
    read_end, write_end = os.pipe()
    clock = Clock()
    sink = log_sink.LogSink(write_end, 'b', clock, usual=5)
    for _ in range(20):
        sink.write(Message('usual\n', 'DEBUG'))
        sink.write(Message('failed\n', 'INFO'))
    text = os.read(read_end, 1 << 16).decode()
    assert text.count('usual') == 5
    assert text.count('failed') == 20
    clock.now = 1.1
    sink.write(Message('next\n', 'INFO'))
    told = os.read(read_end, 1 << 16).decode().splitlines()[0]
    # The tool that reads collected lines sees the gap too.
    event = logs.parse_line(told)
    assert event.name == 'left_out'
    assert event.box == 'b'
    assert event.fields == {'usual': 15, 'full': 0}


def test_a_reader_that_went_away_is_no_error():
    read_end, write_end = os.pipe()
    os.close(read_end)
    sink = log_sink.LogSink(write_end, 'b', Clock())
    sink.write(Message('x\n', 'INFO'))
    assert sink.lost == 1
