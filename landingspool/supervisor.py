"""Runs the tasks of a process so that an error in one ends nothing else.

Without it an unhandled error would end a task in silence, or the process with
all of its open requests.  A restart of the process mends little: a record of
the platform that raises an error is read again at each start.  So each task
that has to run is started again after a pause, and nothing that fails here
ends the process.  What it may serve meanwhile is decided by its parts: the
proof of the tables, for example, ages until they are read again.
"""

import asyncio
import functools
import pathlib
import traceback
import typing

# Pause before a failed task is started again, seconds; doubled at each failure
# up to the maximum, which is below the bounds for tables and leaving targets.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.6
# Seconds for which a task has to run until its next pause is the first again.
RUN_WELL_S = 10.0
# Innermost stack frames in a log line, and characters of each of its texts.
TRACE_FRAMES = 6
MAX_TEXT_CHARS = 200
# Log lines for each name in a period; errors beyond are counted in the next.
MAX_LINES = 10
LINES_PERIOD_S = 10.0


class Lines(typing.NamedTuple):
    """Log lines of one name since a time, and how many were omitted."""

    since: float
    written: int
    omitted: int


class Supervisor:
    """Starts tasks, and reports their errors under the name of the task.

    Parameters
    ----------
    recorder : events.Recorder
    failures : prometheus_client.Counter
        Counts errors, with the label `task`.
    """

    def __init__(self, recorder, failures):
        self._recorder = recorder
        self._failures = failures
        self._tasks = set()
        self._lines = {}
        self._is_closing = False

    def keep(self, name, call):
        """Start a task that is started again after an unhandled error.

        Parameters
        ----------
        name : str
            One of a fixed set of names, for the log and the metrics.
        call : callable
            Returns the coroutine to run.

        Returns
        -------
        asyncio.Task
            It ends when it is cancelled, or when the coroutine returns.
        """
        return self._start(self._run_again(name, call))

    def spawn(self, name, work):
        """Start a task whose unhandled error is reported.

        Parameters
        ----------
        work : coroutine

        Returns
        -------
        asyncio.Task
            It raises the error as well, for those that await it.
        """
        return self._start(self._run_once(name, work))

    async def attempt(self, name, work):
        """Await a coroutine; report its error and return None then."""
        try:
            return await work
        except asyncio.CancelledError as error:
            if is_cancelled():
                raise
            self.report(name, error)
        except Exception as error:
            self.report(name, error)
        return None

    def guard(self, name, call, *args):
        """Call a function; report its error and return None then."""
        try:
            return call(*args)
        except Exception as error:
            self.report(name, error)
            return None

    def report(self, name, error, event='fault', **fields):
        """Count an error, and log it unless there were many in this period.

        Parameters
        ----------
        name : str
            As for `keep`.
        error : BaseException
        event : str, optional
            Name of the event.
        **fields
            Further fields of the event.
        """
        error = find_first(error)
        self._failures.labels(name).inc()
        omitted = self._count_line(name)
        if omitted is None:
            return
        if omitted:
            fields['omitted'] = omitted
        self._recorder.record(
            event,
            task=name,
            reason=describe(error),
            trace=list_frames(error),
            **{key: clip(value) for key, value in fields.items()},
        )

    def make_reporter(self, name):
        """Return a function that reports an error under a name."""
        return functools.partial(self.report, name)

    def report_loop_error(self, loop, context):
        """Report an error that reached the event loop."""
        error = context.get('exception')
        if error is None:
            error = RuntimeError(context['message'])
        self.report('loop', error, message=context['message'])

    async def close(self):
        """Cancel all tasks and wait for them; none is started again."""
        self._is_closing = True
        tasks = [t for t in self._tasks if t is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task):
        self._tasks.discard(task)
        if not task.cancelled():
            # Retrieved here, since it is reported already.
            task.exception()

    async def _run_once(self, name, work):
        try:
            return await work
        except asyncio.CancelledError as error:
            if not is_cancelled():
                self.report(name, error)
            raise
        except Exception as error:
            self.report(name, error)
            raise

    async def _run_again(self, name, call):
        loop = asyncio.get_running_loop()
        pause_s = FIRST_PAUSE_S
        while not self._is_closing:
            began = loop.time()
            try:
                return await call()
            except asyncio.CancelledError as error:
                if is_cancelled():
                    raise
                failed = error
            except Exception as error:
                failed = error
            if loop.time() - began >= RUN_WELL_S:
                pause_s = FIRST_PAUSE_S
            self.report(name, failed, pause_s=pause_s)
            del failed
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_PAUSE_S)

    def _count_line(self, name):
        """Return how many lines were omitted before this; None to omit it."""
        now = asyncio.get_running_loop().time()
        lines = self._lines.get(name)
        if lines is None or now - lines.since >= LINES_PERIOD_S:
            omitted = lines.omitted if lines is not None else 0
            lines = Lines(now, 0, omitted)
        if lines.written == MAX_LINES:
            self._lines[name] = lines._replace(omitted=lines.omitted + 1)
            return None
        self._lines[name] = Lines(lines.since, lines.written + 1, 0)
        return lines.omitted


def is_cancelled():
    """Return whether the current task is cancelled, not what it awaits."""
    return bool(asyncio.current_task().cancelling())


def find_first(error):
    """Return the first error of a group, or the error itself.

    >>> find_first(ExceptionGroup('a task group', [KeyError('a')]))
    KeyError('a')
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def clip(value):
    """Return a field of a log line; a text has a bounded length."""
    return value[:MAX_TEXT_CHARS] if isinstance(value, str) else value


def describe(error):
    """Return the type and the text of an error, of bounded length.

    >>> describe(KeyError('a'))
    "KeyError: 'a'"
    """
    try:
        text = str(error)
    except Exception:
        text = 'no text'
    return clip(f'{type(error).__name__}: {text}')


def list_frames(error):
    """List the innermost stack frames of an error, the innermost last."""
    rows = traceback.extract_tb(error.__traceback__, limit=-TRACE_FRAMES)
    return [
        f'{pathlib.PurePath(row.filename).name}:{row.lineno} {row.name}'
        for row in rows
    ]
