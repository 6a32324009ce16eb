"""Example records and a scheduler, shared by several tests."""

from landingspool.decisions import fairness
from landingspool.decisions import identity
from landingspool.decisions import policies
from landingspool.decisions import records
from landingspool.decisions import scheduler

SHARE = fairness.make_share(1.0, 1)


def make_member(name, **changes):
    """Return a target of the model m in the domain north."""
    member = records.Member(
        name, 'target', 'north', '127.0.0.1', 1, 'm', f'{name}-1'
    )
    return member._replace(**changes)


def make_report(name, **changes):
    """Return a new load report of an idle target with four slots."""
    report = records.Report(
        target=name,
        incarnation=f'{name}-1',
        age=0.0,
        slots=4,
        running=0,
        queued_tokens=0,
        prefill=10_000.0,
        step=0.01,
        version='v1',
        leaving=False,
        ready=True,
    )
    return report._replace(**changes)


def make_work(request, workspace='a', pieces=2, **changes):
    """Return a request with a prompt of `pieces` pieces."""
    origin = identity.Origin(workspace, 'm', '')
    text = (request.split('.')[0] + ' ' * 64)[:64]
    prompt = text * (identity.PIECE_BYTES // 64) * pieces
    work = records.Work(
        request=request,
        entry='box-1',
        workspace=workspace,
        model='m',
        pieces=identity.hash_pieces(origin, prompt),
        prompt_tokens=pieces * identity.PIECE_TOKENS,
        output_tokens=16,
        waited=0.0,
        left=30.0,
        offset=1,
        pool='m@north#0',
    )
    return work._replace(**changes)


def make_scheduler(targets=('t1', 't2'), now=0.0, **policy):
    """Return a scheduler that has a load report of each target."""
    chosen = policies.Policy(**policy)
    owned = scheduler.Scheduler('m', 'north', 'box-1', chosen, now)
    owned.set_members([make_member(name) for name in targets])
    for name in targets:
        owned.report(make_report(name), now)
    return owned
