"""Writes the head with which a request is sent to the planned target."""

from landingspool.decisions.gateway import demand
from landingspool.platform import egress


def write_head(state, plan, sent_at):
    """Return the headers of a request.

    Parameters
    ----------
    state : request_state.RequestState
    plan : plans.Plan
    sent_at : float
        When it is sent, seconds of the clock.

    Returns
    -------
    list of tuple
    """
    instructions = egress.Instructions(
        target=plan.entry.target,
        left_s=state.deadline - sent_at,
        workspace=state.work.workspace,
        priority=demand.find_priority(state.work),
        version=plan.version,
        space=plan.space,
        fetch=plan.transfer.fetch,
        save=plan.transfer.save,
        until_ms=plan.transfer.until_ms,
        after_event=state.last_event_id,
    )
    return egress.write_head(state.call, instructions, len(state.body))
