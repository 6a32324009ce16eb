"""Error bodies, completion bodies, and the cache of answers for retries."""

import asyncio
import collections
import json
import math
import typing

from landingspool import verdict

MAX_STORED_BYTES = 8 * 1024 * 1024

NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


class Reason(typing.NamedTuple):
    """HTTP status and default message of a rejection reason."""

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
    """Final answer of a request that was not completed.

    Attributes
    ----------
    reason : str
        Key of `REASONS`.
    verdict : verdict.Verdict
    retry_after : float
        Seconds after which the caller may retry; 0 if none are named.
    detail : str
        Message that replaces the default one of the reason, unless empty.
    status : int
        HTTP status that replaces that of the reason, unless 0.
    """

    reason: str
    verdict: verdict.Verdict
    retry_after: float = 0.0
    detail: str = ''
    status: int = 0


class StoredAnswer(typing.NamedTuple):
    """Final answer that is stored for later retries with the same key."""

    status: int
    body: bytes


def describe(rejection, request):
    """Return the JSON body of a rejection."""
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
    """Return the response headers of a rejection."""
    headers = [
        ('x-request-id', request),
        ('x-verdict', rejection.verdict.value),
    ]
    if rejection.retry_after:
        seconds = str(math.ceil(rejection.retry_after))
        headers.append(('retry-after', seconds))
    return headers


def get_status(rejection):
    """Return the HTTP status of a rejection."""
    return rejection.status or REASONS[rejection.reason].status


def make_completion(request, model, text, end):
    """Return the body of a complete answer."""
    body = {
        'id': request,
        'object': 'text_completion',
        'model': model,
        'choices': [{'index': 0, 'text': text, 'finish_reason': 'stop'}],
        'usage': make_usage(end),
    }
    return json.dumps(body).encode()


def make_usage(end):
    """Return the token counts of an answer."""
    return {
        'prompt_tokens': end.prompt_tokens,
        'completion_tokens': end.output_tokens,
        'total_tokens': end.prompt_tokens + end.output_tokens,
        'cached_tokens': end.cached_tokens,
    }


class AnswerCache:
    """Answers of non-repeatable requests, stored for retries.

    An entry is created when this box wins the key.  Retries that arrive
    while the request runs wait for its answer.  When the stored bodies exceed
    the limit, the oldest answers are evicted and their keys are marked as
    spent: further retries are rejected as requests that may have run.

    Parameters
    ----------
    max_bytes : int
        Limit on the total size of the stored bodies in bytes.
    """

    def __init__(self, max_bytes=MAX_STORED_BYTES):
        self._max_bytes = max_bytes
        self._bytes = 0
        self._futures = collections.OrderedDict()
        self._spent = collections.OrderedDict()

    def begin(self, key):
        """Record that the request with this key is running."""
        self._futures[key] = asyncio.get_running_loop().create_future()

    def finish(self, key, stored):
        """Store the final answer and evict old ones beyond the limit."""
        future = self._futures.get(key)
        if future is None or future.done():
            return
        future.set_result(stored)
        self._bytes += len(stored.body)
        while self._bytes > self._max_bytes:
            self._evict_oldest()

    def find(self, key):
        """Return the future of the answer, or None."""
        return self._futures.get(key)

    def spend(self, key):
        """Mark a key as spent, so that it is no longer run on this box."""
        self._spent[key] = True
        while len(self._spent) > 65536:
            self._spent.popitem(last=False)

    def is_spent(self, key):
        """Return whether a key must not be run on this box."""
        return key in self._spent

    def _evict_oldest(self):
        for key, future in self._futures.items():
            if future.done():
                self._bytes -= len(future.result().body)
                self.spend(key)
                del self._futures[key]
                return
        self._bytes = 0
