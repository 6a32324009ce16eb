"""What a caller is told: rejections with their verdict, and kept answers."""

import asyncio
import collections
import json
import math
import typing

from landingspool import verdict

KEPT_BYTES = 8 * 1024 * 1024

NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


class Reason(typing.NamedTuple):
    """How a reason is shown: status and a plain text."""

    status: int
    text: str


REASONS = {
    'unauthorized': Reason(401, 'no workspace has this key'),
    'bad_request': Reason(400, 'the request can not be read'),
    'unknown_model': Reason(404, 'no target serves this model'),
    'no_configuration': Reason(503, 'this box has no configuration yet'),
    'stopping': Reason(503, 'this box is about to stop'),
    'limit': Reason(429, 'the workspace has reached its request limit'),
    'overloaded': Reason(503, 'the wait would be longer than the deadline'),
    'deadline': Reason(504, 'the deadline can not be met any more'),
    'no_target': Reason(503, 'no target can take the request now'),
    'no_scheduler': Reason(503, 'no scheduler answers'),
    'retry_budget': Reason(503, 'a target failed and retries are used up'),
    'log_down': Reason(503, 'the log can not settle the key now'),
    'key_age': Reason(409, 'the key is too old or too new'),
    'key_held': Reason(409, 'the key was used by another request'),
    'key_running': Reason(409, 'the request with this key is running'),
    'broken': Reason(502, 'the target broke off'),
    'fault': Reason(500, 'a fault of landingspool itself'),
    'box_gone': Reason(409, 'the box that holds this key can not be asked'),
}


class Rejection(typing.NamedTuple):
    """A final answer other than a whole one."""

    reason: str
    verdict: verdict.Verdict
    retry_after: float = 0.0
    detail: str = ''
    status: int = 0


class Kept(typing.NamedTuple):
    """A final answer that a late retry gets again."""

    status: int
    body: bytes


def describe(rejection, request):
    """Give the JSON body of a rejection."""
    reason = REASONS[rejection.reason]
    return {
        'error': {
            'type': rejection.reason,
            'message': rejection.detail or reason.text,
            'verdict': rejection.verdict.value,
            'request_id': request,
            'retry_after_s': rejection.retry_after,
        }
    }


def list_headers(rejection, request):
    """List the headers of a rejection."""
    headers = [
        ('x-request-id', request),
        ('x-verdict', rejection.verdict.value),
    ]
    if rejection.retry_after:
        seconds = str(math.ceil(rejection.retry_after))
        headers.append(('retry-after', seconds))
    return headers


def get_status(rejection):
    """Give the HTTP status of a rejection."""
    return rejection.status or REASONS[rejection.reason].status


def make_completion(request, model, text, end):
    """Give the body of a whole answer."""
    body = {
        'id': request,
        'object': 'text_completion',
        'model': model,
        'choices': [{'index': 0, 'text': text, 'finish_reason': 'stop'}],
        'usage': make_usage(end),
    }
    return json.dumps(body).encode()


def make_usage(end):
    """Give the usage part of an answer."""
    return {
        'prompt_tokens': end.prompt_tokens,
        'completion_tokens': end.output_tokens,
        'total_tokens': end.prompt_tokens + end.output_tokens,
        'cached_tokens': end.cached_tokens,
    }


class AnswerCache:
    """The answers of requests that must not be repeated, for late retries.

    An entry begins when a box wins a key; retries that come while it runs
    wait for its answer.  The oldest answers go when the bytes are used up:
    their retries then hear that it may have run.
    """

    def __init__(self, most=KEPT_BYTES):
        self._most = most
        self._bytes = 0
        self._rows = collections.OrderedDict()
        self._spent = collections.OrderedDict()

    def begin(self, key):
        """Note that the request with this key is running."""
        self._rows[key] = asyncio.get_running_loop().create_future()

    def finish(self, key, kept):
        """Keep the final answer."""
        future = self._rows.get(key)
        if future is None or future.done():
            return
        future.set_result(kept)
        self._bytes += len(kept.body)
        while self._bytes > self._most:
            self._drop_oldest()

    def find(self, key):
        """Give the future of the answer, or None."""
        return self._rows.get(key)

    def spend(self, key):
        """Make sure that a key never runs here from now on."""
        self._spent[key] = True
        while len(self._spent) > 65536:
            self._spent.popitem(last=False)

    def is_spent(self, key):
        """Tell whether a key must not run here."""
        return key in self._spent

    def _drop_oldest(self):
        for key, future in self._rows.items():
            if future.done():
                self._bytes -= len(future.result().body)
                self.spend(key)
                del self._rows[key]
                return
        self._bytes = 0
