"""The guards that carry the points, each with a way to take it off.

A guard is shown to matter by a cell of the matrix that fails without it,
for the reason named, and passes with it.
"""

import typing

from landingspool.callers import answers
from landingspool.callers import session
from landingspool.decisions import blocks
from landingspool.decisions import configuration
from landingspool.decisions import entry
from landingspool.decisions import identity
from landingspool.decisions import node
from landingspool.decisions import pool
from landingspool.decisions import request
from landingspool.decisions import rollout
from landingspool.ledger import claimer
from landingspool.ledger import follower

Signal = request.Signal


class Guard(typing.NamedTuple):
    """One guard.

    Attributes
    ----------
    point : str
        The point of the brief that it carries.
    name : str
    check : str
        The auditor's check that has to fail without it.
    remove : callable
        ``remove(monkeypatch)`` takes the guard off.
    cell : tuple
        A story and its pairs of step and fault.
    """

    point: str
    name: str
    check: str
    remove: typing.Callable
    cell: tuple


GUARDS = []


def guard(point, name, check, story, *pairs):
    """Register the function that takes a guard off."""

    def add(function):
        cell = (story, pairs)
        GUARDS.append(Guard(point, name, check, function, cell))
        return function

    return add


@guard(
    'not run',
    'sent from the first byte',
    'not_run',
    'serve',
    ('dispatch once', 'answer lost'),
)
def forget_sent(patch):
    """Take a request for not run until its first token."""

    def send(life):
        return life._replace(state=request.State.SENT, tries=life.tries + 1)

    patch.setitem(request.TABLE, (request.State.GRANTED, Signal.SEND), send)
    patch.setattr(request, 'may_retry', lambda life: False)


@guard(
    'at most once',
    'no second dispatch',
    'at_most_once',
    'serve',
    ('dispatch once', 'answer lost'),
)
def retry_all(patch):
    """Dispatch again whatever broke."""
    patch.setattr(request, 'may_retry', lambda life: True)


@guard(
    'at most once',
    'first claim in the log',
    'at_most_once',
    'serve',
    ('answer once', 'killed'),
)
def skip_claims(patch):
    """Win every claim without reading the log."""

    async def claim(self, key, minted):
        return claimer.Won(key)

    patch.setattr(claimer.Claimer, 'claim', claim)


@guard(
    'at most once',
    'claims are read back',
    'at_most_once',
    'serve',
    ('claim', 'log loses answers'),
    ('answer once', 'killed'),
)
def trust_append(patch):
    """Win a claim by the answer to the append, lost or not."""

    async def append(self, batch, releases, rows):
        for pending in batch:
            self._settle(pending.claim.claim, claimer.Won(''))

    patch.setattr(claimer.Claimer, '_append', append)


@guard(
    'at most once',
    'one run for a key at a box',
    'at_most_once',
    'serve',
    ('answer once', 'message lost'),
)
def forget_archive(patch):
    """Forget which keys this box has run or is running."""
    patch.setattr(answers.AnswerCache, 'find', lambda self, key: None)
    patch.setattr(answers.AnswerCache, 'is_spent', lambda self, key: False)

    async def hold(self, key, minted):
        return claimer.Won(key)

    patch.setattr(claimer.Claimer, 'claim', hold)


@guard(
    'own whole answer',
    'tokens are counted',
    'answers',
    'serve',
    ('stream', 'message lost'),
)
def resume_anywhere(patch):
    """Resume from the beginning and don't look at the token's number."""
    resume = session.targets.Stream.resume

    async def from_start(self, name, after):
        return await resume(self, name, 0)

    decode = session.targets.decode_event

    class Any(int):
        """A number that equals all others."""

        def __ne__(self, other):
            return False

    def lax(text):
        event = decode(text)
        if isinstance(event, session.targets.Token):
            return session.targets.Token(Any(event.index), event.text)
        return event

    def take_end(self, end):
        self._advance(Signal.END)
        return session.AttemptResult('ok', end)

    patch.setattr(session.targets.Stream, 'resume', from_start)
    patch.setattr(session.targets, 'decode_event', lax)
    patch.setattr(session.Session, '_handle_end', take_end)


@guard(
    'never reverts',
    'offsets move forward',
    'offsets',
    'configure',
    ('relay', 'message late'),
)
def take_any_table(patch):
    """Put a relayed table in force even if it is older."""

    def take(self, message):
        for _, data in message.entries:
            snapshot = configuration.read_snapshot(data)
            table = configuration.load_snapshot(snapshot)
            self.table = table
            self._core.node.set_table(table)

    patch.setattr(follower.Follower, 'take', take)
    patch.setattr(
        node.Node,
        'set_table',
        lambda self, table: setattr(self, 'table', table),
    )


@guard(
    'never reverts',
    'edit ids are remembered',
    'configuration',
    'configure',
    ('append', 'answer lost'),
)
def forget_edits(patch):
    """Say that an edit failed when the answer to its append is lost."""
    wait = follower.Follower.wait_result

    async def no_wait(self, edit, timeout):
        result = await wait(self, edit, timeout)
        lost = configuration.Result(0, edit, configuration.CONFLICT)
        return lost if edit == 'edit-1' else result

    patch.setattr(follower.Follower, 'wait_result', no_wait)


@guard(
    'leaving',
    'the mark is looked at',
    'leaving',
    'replace',
)
def ignore_marks(patch):
    """Neither keep the mark of a leaving target nor look at it."""
    patch.setattr(pool.Target, 'is_leaving', lambda self: False)
    patch.setattr(node.Node, 'may_dispatch', lambda self, grant: '')


@guard(
    'leaving',
    'old decisions are thrown away',
    'leaving',
    'leaving',
    ('leave soon', 'entry frozen'),
)
def keep_old_grants(patch):
    """Use a grant however old it is, by a list as old."""
    patch.setattr(entry.Entry, 'is_fresh', lambda self, now: True)
    patch.setattr(session.Session, '_get_stale_reason', lambda *_: '')


@guard(
    'freed or half-written blocks',
    'receipts are checked',
    'context',
    'keep',
    ('import', 'store corrupt'),
)
def trust_receipts(patch):
    """Use an imported block without a check."""
    patch.setattr(blocks, 'check_receipt', lambda block, receipt: '')


@guard(
    'weight versions',
    'the version is in the key',
    'context',
    'swap',
)
def forget_versions(patch):
    """Name context without the weight version."""
    patch.setattr(identity, 'add_version', lambda piece, version: piece.hex())
    patch.setattr(
        'standins.engine.Engine.use_context', use_context_of_any_version
    )


def use_context_of_any_version(self, value):
    """Stand in for an engine that looks at the names alone."""
    count = 0
    for piece in value['pieces']:
        made = self.cache.get(piece)
        if made is None:
            break
        if made['version'] != self.version:
            self.bad.append({'request': value['request'], 'made': made})
        count += 1
    return count * 2000


@guard(
    'workspace isolation',
    'the workspace is in the key',
    'context',
    'keep',
)
def forget_workspaces(patch):
    """Name context without its workspace."""
    hash_pieces = identity.hash_pieces

    def shared(origin, prompt):
        return hash_pieces(origin._replace(workspace=''), prompt)

    patch.setattr(identity, 'hash_pieces', shared)


@guard(
    'orders',
    'old orders are not sent',
    'orders',
    'unfenced',
    ('plan order', 'frozen'),
)
def send_old_orders(patch):
    """Send a planned order however long ago it was planned."""
    patch.setattr(node.Node, 'may_order', lambda self, command, now: True)
    patch.setattr(rollout, 'may_order', lambda *_: True)
