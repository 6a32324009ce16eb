"""Write the log lines of one attempt, and count what they tell."""

from landingspool.decisions.gateway import plans
from landingspool.decisions.gateway import prompts


def log_dispatched(hub, state, plan, priority, weights_left_s):
    """Log that a request is sent to the planned target.

    Parameters
    ----------
    hub
        The box's parts: `recorder`, `view`.
    state : request_state.RequestState
    plan : plans.Plan
    priority : int
    weights_left_s : float or None
        As plans.describe_plan.
    """
    hub.recorder.record(
        'dispatched',
        request=state.call.name,
        content=state.fingerprint.hex(),
        parts=prompts.list_logged(state.work.prompt),
        priority=priority,
        resumes=state.call.resumes,
        after=state.last_event_id or state.call.after_event,
        **plans.describe_plan(plan, hub.view.table, weights_left_s),
    )


def log_loss(hub, state, cause, sent_at, **where):
    """Log that a request was sent and its answer did not come whole.

    Parameters
    ----------
    hub
        The box's parts: `recorder`, `metrics`, `clock`.
    cause : outcomes.Cause
    sent_at : float
        When it was sent, seconds of the clock.
    **where
        Further fields: where it was sent.
    """
    hub.metrics.losses.labels(cause).inc()
    hub.recorder.record(
        'lost',
        request=state.call.name,
        content=state.fingerprint.hex(),
        cause=cause,
        after_s=round(hub.clock() - sent_at, 4),
        **where,
    )


def log_target_loss(hub, state, cause, sent_at, name):
    """Log that a target did not answer a request wholly.

    Parameters
    ----------
    hub
        The box's parts: `recorder`, `metrics`, `clock`, `view`.
    state : request_state.RequestState
    cause : outcomes.Cause
    sent_at : float
        When it was sent, seconds of the clock.
    name : str
        Name of the target.
    """
    waiting, running = hub.view.loads.count(name)
    log_loss(
        hub,
        state,
        cause,
        sent_at,
        target=name,
        parts=prompts.list_logged(state.work.prompt),
        waiting=waiting,
        running=running,
    )


def log_surplus(hub, state, answerer, head):
    """Log an answer in the place of that to the request.

    Parameters
    ----------
    hub
        The box's parts: `recorder`, `metrics`.
    answerer : str
        Name of the target or box that sent it.
    head : answers.Head
    """
    hub.metrics.surplus_answers.inc()
    hub.recorder.record(
        'surplus_answer',
        request=state.call.name,
        belongs_to=head.name,
        target=answerer,
        status=head.status,
        not_run=head.not_run,
    )


def log_given_up(hub, state, answerer, head):
    """Log that the body of an answer was given up; its status is known.

    Parameters
    ----------
    hub
        The box's parts: `recorder`.
    answerer : str
        Name of the target or box that sent it.
    head : answers.Head
    """
    hub.recorder.record(
        'body_given_up',
        request=state.call.name,
        target=answerer,
        status=head.status,
    )
