"""The supervisor starts tasks again, and reports each error within bounds."""

import asyncio

import pytest

from landingspool import events
from landingspool import metrics
from landingspool import supervisor as supervisor_module


class Unprintable(Exception):
    """An error whose text can't be had."""

    def __str__(self):
        """Fail."""
        raise RecursionError


def make_supervisor():
    """Return a supervisor and its recorder."""
    recorder = events.Recorder('one')
    failures = metrics.Metrics().task_failures
    return supervisor_module.Supervisor(recorder, failures), recorder


def list_pauses(recorder):
    """List the pauses of all failures that were logged."""
    return [event.fields['pause_s'] for event in recorder.select()]


def fail():
    """Raise an unexpected error."""
    raise ZeroDivisionError('made by the test')


@pytest.fixture
def quick(monkeypatch):
    """Make all pauses short."""
    monkeypatch.setattr(supervisor_module, 'FIRST_PAUSE_S', 0.01)
    monkeypatch.setattr(supervisor_module, 'MAX_PAUSE_S', 0.04)
    monkeypatch.setattr(supervisor_module, 'RUN_WELL_S', 0.1)


def test_pauses_grow_are_bounded_and_begin_anew_after_a_good_run(quick):
    async def check():
        supervisor, recorder = make_supervisor()
        runs = []

        async def run():
            runs.append(None)
            if len(runs) == 6:
                await asyncio.sleep(0.15)
            if len(runs) < 8:
                fail()

        await supervisor.keep('part', run)
        return list_pauses(recorder)

    pauses = asyncio.run(check())
    assert pauses == [0.01, 0.02, 0.04, 0.04, 0.04, 0.01, 0.02]


def test_nothing_is_started_again_once_it_is_closed(quick):
    async def check():
        supervisor, recorder = make_supervisor()
        runs = []

        async def run():
            runs.append(None)
            fail()

        async def refuse_to_end():
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                fail()

        task = supervisor.keep('part', run)
        stubborn = supervisor.keep('stubborn', refuse_to_end)
        await asyncio.sleep(0.02)
        await supervisor.close()
        count = len(runs)
        await asyncio.sleep(0.1)
        assert len(runs) == count
        return task.done() and stubborn.done()

    assert asyncio.run(check())


def test_a_cancelled_task_is_no_failure_and_one_that_loses_its_part_is(quick):
    async def check():
        supervisor, recorder = make_supervisor()
        waiting = asyncio.get_running_loop().create_future()

        async def run():
            await waiting

        task = supervisor.keep('part', run)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert not recorder.counts['fault']
        task = supervisor.keep('part', run)
        await asyncio.sleep(0.05)
        assert recorder.counts['fault'] > 1
        assert not task.done()
        await supervisor.close()

    asyncio.run(check())


def test_errors_of_short_tasks_are_reported_and_raised_to_who_awaits_them():
    async def check():
        supervisor, recorder = make_supervisor()

        async def run():
            fail()

        with pytest.raises(ZeroDivisionError):
            await supervisor.spawn('short', run())
        assert await supervisor.attempt('short', run()) is None
        assert supervisor.guard('short', fail) is None
        assert supervisor.guard('short', int, '4') == 4
        assert recorder.counts['fault'] == 3

    asyncio.run(check())


def test_lines_of_one_task_are_bounded_and_the_others_counted(monkeypatch):
    async def check():
        monkeypatch.setattr(supervisor_module, 'LINES_PERIOD_S', 0.1)
        supervisor, recorder = make_supervisor()
        for _ in range(25):
            supervisor.guard('odd', fail)
        supervisor.guard('other', fail)
        assert len(recorder.select(task='odd')) == supervisor_module.MAX_LINES
        assert len(recorder.select(task='other')) == 1
        await asyncio.sleep(0.15)
        supervisor.guard('odd', fail)
        last = recorder.select(task='odd')[-1].fields
        return last['omitted']

    assert asyncio.run(check()) == 25 - supervisor_module.MAX_LINES


def test_a_line_has_a_bound_whatever_the_error():
    async def check():
        supervisor, recorder = make_supervisor()

        def descend(depth):
            if depth:
                descend(depth - 1)
            raise ValueError('x' * 10_000)

        supervisor.guard('deep', descend, 200)
        supervisor.report('key', ValueError('a'), key='x' * 10_000)
        supervisor.report('unprintable', Unprintable())
        deep, key, unprintable = recorder.select()
        assert len(str(deep.fields)) < 1000
        assert len(str(key.fields)) < 1000
        assert deep.fields['trace'][-1].endswith('descend')
        assert unprintable.fields['reason'] == 'Unprintable: no text'

    asyncio.run(check())


def test_an_error_that_reaches_the_event_loop_is_reported():
    async def check():
        supervisor, recorder = make_supervisor()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(supervisor.report_loop_error)
        loop.call_soon(fail)
        await asyncio.sleep(0.01)
        (event,) = recorder.select(task='loop')
        assert 'made by the test' in event.fields['reason']

    asyncio.run(check())
