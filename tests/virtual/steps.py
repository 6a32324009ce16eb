"""The steps of the matrix: how each is seen in the world."""

import typing

from landingspool.decisions import messages


class Step(typing.NamedTuple):
    """A step of the matrix as it is reached.

    `actor` is the process that acts, `peer` the one it acts on, `subject`
    the exchange or the message.
    """

    name: str
    actor: str
    peer: str = ''
    subject: typing.Any = None


REQUESTS = {
    '/admin/publish': 'publish',
    '/kv/export': 'export',
    '/seal': 'seal',
    '/kv/import': 'import',
    '/free': 'free',
    '/orders': 'order',
}

MESSAGES = {messages.Grant: 'grant', messages.Records: 'relay'}

EVENTS = {
    'published': 'fold',
    'accepted': 'accept',
    'joined': 'join',
    'leaving': 'leave',
    'draining': 'drain',
    'planned': 'plan order',
}


def name_request(request):
    """Give the step that a request is, or ``''``."""
    if request.path == '/append':
        stream = request.json()['stream']
        return 'claim' if stream == 'claims' else 'append'
    if request.path == '/load' and 'version' in request.query:
        return 'load'
    if request.path == '/v1/completions' and 'authorization' not in (
        request.headers
    ):
        return 'dispatch'
    return REQUESTS.get(request.path, '')
