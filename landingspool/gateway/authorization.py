"""Judge one request by the table in force, and by how recent its proof is."""

from landingspool.decisions.gateway import routes


class Authorization:
    """What the table in force says of one request.

    Parameters
    ----------
    hub
        The box's parts: `view`, `clock`, `resumption`.
    call : ingress.Call
    """

    def __init__(self, hub, call):
        self._hub = hub
        self._view = hub.view
        self._call = call

    def judge(self):
        """Return the route of the request and its standing on it.

        Returns
        -------
        tuple of (routes.Route, routes.Standing) or (None, None)
        """
        table, route = self._view.table, self._get_route()
        if route is None:
            return None, None
        return route, routes.judge(table, route, self._call.key)

    def lacks_proof(self, standing):
        """Return whether a standing rests on a table that may be outdated."""
        if standing is None or not standing.needs_proof:
            return False
        return not self._view.proof.is_fresh(self._hub.clock())

    async def wait_for_proof(self):
        """Wait for the table's proof to be renewed after a stall."""
        route = self._get_route()
        if route is None:
            return False
        return await self._hub.resumption.wait_for_proof(
            route.target_latency_s
        )

    async def renew(self, work):
        """Return whether an admitted request may still be sent.

        If its proof has become too old, the table that was read meanwhile has
        to allow it for the same workspace.
        """
        if self._view.may_serve(work, self._hub.clock()):
            return True
        if not await self.wait_for_proof():
            return False
        _, standing = self.judge()
        if standing is None or not standing.passes:
            return False
        return routes.is_same_workspace(standing.tenancy, work.tenancy)

    def _get_route(self):
        call = self._call
        return routes.match_route(self._view.table, call.host, call.target)
