"""A caller: sends prompts over HTTP and measures what comes back."""

import asyncio
import json
import typing

from landingspool import http


class Answer(typing.NamedTuple):
    """What a caller got.

    `first` and `total` are seconds from the sending; `first` is below 0
    where no token came.  `whole` tells if the stream had its end.
    """

    status: int
    text: str
    whole: bool
    error: dict
    usage: dict
    first: float
    total: float
    headers: dict


def make_headers(key, **options):
    """Give the headers of a request; `options` are header names."""
    headers = [('authorization', f'Bearer {key}')]
    for name, value in options.items():
        headers.append((name.replace('_', '-'), str(value)))
    return headers


async def complete(client, address, key, body, timeout=60.0, **options):
    """Send one completions request and read its whole answer.

    Parameters
    ----------
    client : httpclient.Client
    address : http.Address
    key : str
        Bearer key of the workspace.
    body : dict
    **options
        More headers, with underscores for dashes.

    Returns
    -------
    Answer
        With status 0 where the box could not be reached or broke off.
    """
    call = client.open(address)
    began = asyncio.get_running_loop().time()
    seen = Reading(began)
    headers = make_headers(key, **options)
    try:
        await call.send('POST', '/v1/completions', body, headers)
        if 'event-stream' in call.headers.get('content-type', ''):
            async for text in call.read_events():
                seen.take(text)
        else:
            data = b''.join([part async for part in call.read()])
            seen.take_whole(call.status, data)
    except http.Unreachable as error:
        seen.error = {'type': 'unreachable', 'message': str(error)}
        return seen.finish(0, call.headers)
    finally:
        call.close()
    return seen.finish(call.status, call.headers)


class Reading:
    """Gathers one answer as it comes."""

    def __init__(self, began):
        self.began = began
        self.parts = []
        self.whole = False
        self.error = {}
        self.usage = {}
        self.first = -1.0

    def take(self, text):
        """Take one server-sent event."""
        if text == '[DONE]':
            self.whole = True
            return
        value = json.loads(text)
        if 'error' in value:
            self.error = value['error']
            return
        self.usage = value.get('usage', self.usage)
        part = value['choices'][0]['text']
        if part and self.first < 0:
            self.first = asyncio.get_running_loop().time() - self.began
        self.parts.append(part)

    def take_whole(self, status, data):
        """Take an answer that is no stream."""
        value = json.loads(data) if data else {}
        if status == 200 and 'choices' in value:
            self.parts.append(value['choices'][0]['text'])
            self.usage = value['usage']
            self.first = asyncio.get_running_loop().time() - self.began
            self.whole = True
        else:
            self.error = value.get('error', value)

    def finish(self, status, headers):
        """Give the Answer."""
        total = asyncio.get_running_loop().time() - self.began
        return Answer(
            status,
            ''.join(self.parts),
            self.whole,
            self.error,
            self.usage,
            self.first,
            total,
            headers,
        )
