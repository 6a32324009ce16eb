"""The memory of a box that callers may take, and who gets some of it.

A request with a large body is judged by its head before the body is read.
"""

import functools
import random

from landingspool import buffers
from landingspool.decisions.gateway import byte_budget
from landingspool.decisions.gateway import routes
from landingspool.gateway import forwarded_rows
from landingspool.gateway import intake
from landingspool.gateway import refusals
from landingspool import http


class CallerRoom:
    """What callers make a box hold: bodies, and buffers of connections.

    Parameters
    ----------
    hub
        The box's parts: `deployment`, `view`, `recorder`, `metrics`, `clock`,
        `listener`, `forward_listener`.

    Attributes
    ----------
    intake : intake.Intake
    buffers : buffers.Buffers
    """

    def __init__(self, hub):
        self._hub = hub
        deployment, counter = hub.deployment, hub.metrics.out_of_room
        parts = byte_budget.divide(
            deployment.memory_bytes, deployment.caller_bytes
        )
        budget = byte_budget.BodyBudget(parts.body_bytes)
        self.intake = intake.Intake(budget, counter)
        self.buffers = buffers.Buffers(parts.buffer_bytes, counter)

    def open_lease(self, connection, request):
        """Return the lease for the body of a request, from its head.

        Parameters
        ----------
        connection : connection.Connection
        request : h11.Request

        Returns
        -------
        intake.Lease
        """
        return self.intake.open(
            connection, functools.partial(self._judge, request)
        )

    def open_forwarded_lease(self, connection, request):
        """Return the lease of a request that another box forwards.

        A refusal tells that box that nothing was sent.
        """
        lease = self.open_lease(connection, request)
        lease.describe_refusal = functools.partial(
            forwarded_rows.describe_unsent, request.headers
        )
        return lease

    def report(self):
        """Report what callers make this box hold, and who had no room."""
        self.buffers.refresh()
        listeners = self._hub.listener, self._hub.forward_listener
        held = {
            'bodies': self.intake.used_bytes,
            'buffers': self.buffers.used_bytes,
            'connections': sum(part.count_open() for part in listeners),
        }
        self._hub.metrics.record_room(held)
        turned_away = self.intake.take_refusals() + self.buffers.take_closed()
        if turned_away:
            self._hub.recorder.record(
                'out_of_room', held=held, turned_away=dict(turned_away)
            )

    def _judge(self, request):
        """Return the workspace of a request, by its head.

        A head that can't be judged before its body has come is passed: the
        relay judges each request once more.

        Raises
        ------
        http.BadRequest
            If the table in force does not allow the request, or this box may
            have stopped before its answer.
        """
        view = self._hub.view
        table = view.table
        if table is None:
            return ''
        call = forwarded_rows.read_call(request)
        route = routes.match_route(table, call.host, call.target)
        if route is None:
            self._refuse(call, 404, 'no_route')
        standing = routes.judge(table, route, call.key)
        if standing.needs_proof and not view.proof.is_fresh(self._hub.clock()):
            return ''
        if not standing.passes:
            self._refuse(call, 401, 'unknown_key')
        self._check_lifetime(call, route)
        return standing.tenancy.name if standing.tenancy else ''

    def _check_lifetime(self, call, route):
        """Refuse a request whose body would be read in vain.

        Raises
        ------
        http.BadRequest
        """
        now = self._hub.clock()
        deadline = now + min(call.left_s, route.timeout_s)
        if not self._hub.lifetime.may_read(deadline, now):
            after = random.uniform(*refusals.STOPPING_RETRY_AFTER_S)
            self._refuse(call, 503, refusals.STOPPING, after)

    def _refuse(self, call, status, reason, after=None):
        """Refuse a request whose body was not read.

        Raises
        ------
        http.BadRequest
        """
        self._hub.metrics.answers.labels(str(status), reason).inc()
        self._hub.recorder.record(
            'not_served',
            request=call.name,
            status=status,
            reason=reason,
            may_have_run=False,
        )
        raise http.BadRequest(status, reason, after)
