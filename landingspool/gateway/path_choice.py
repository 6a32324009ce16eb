"""Choose for one request between the targets and the boxes that reach them.

A request goes to a target unless the service is known to be cut off from this
box, its own connections to the targets have failed, or the targets' limits
leave this box no permit.
"""

from landingspool.decisions.gateway import permit_search
from landingspool.decisions.gateway import routes

# Boxes that one request may be forwarded to.
MAX_PEERS = 4


class PathChoice:
    """Chooses whether a request is sent from here, and by whom if not.

    Parameters
    ----------
    hub
        The box's parts: `view`, `upstream`, `peering`.
    state : request_state.RequestState
        The request, once its work is known.
    """

    def __init__(self, hub, state):
        self._view = hub.view
        self._upstream = hub.upstream
        self._peering = hub.peering
        self._state = state

    def may_send_directly(self, now):
        """Return whether the request is for this box to send to a target."""
        if self._state.is_unsendable or self._state.needs_permit:
            return False
        service = self._state.work.service
        forwarding = self._view.forwarding
        if not (
            forwarding.is_cut_off(service, now)
            or forwarding.is_unreachable(service, now)
            or (
                self._state.origin is not None
                and not self._view.reaches(service)
            )
        ):
            return True
        # What is connected already is used for as long as it works.
        ready = self.list_ready()
        return any(
            entry.address in ready
            and self._view.may_send(entry, self._state.work, now)
            for entry in self._view.fleet.list_service(service)
        )

    def list_ready(self):
        """List the addresses with an idle connection fit for the request."""
        return self._upstream.list_ready(
            routes.may_repeat(self._state.work.route)
        )

    def pick_peer(self, now):
        """Return the registry.Peer to forward the request to, or None."""
        tried, service = self._state.tried_peers, self._state.work.service
        if len(tried) >= self._get_max_peers(service, now):
            return None
        unfit = self._peering.list_unfit(self._state.work)
        picked = self._view.forwarding.pick_peer(
            service, (*tried, *unfit), now
        )
        return self._peering.peers.get(picked)

    def _get_max_peers(self, service, now):
        if self._state.needs_permit:
            return permit_search.MAX_PEERS
        # Perhaps no box reaches the targets, which is known a little later.
        is_known = self._view.forwarding.is_cut_off(service, now)
        return MAX_PEERS if is_known else 1

    def search_permit(self, now):
        """Go on with other boxes if the limits leave this one no permit.

        Returns
        -------
        bool
            False if no other box is to be asked.
        """
        state = self._state
        if state.origin is not None or state.sends or state.tried_peers:
            return False
        if not self._view.permit_search.may_search(state.work.service, now):
            return False
        state.needs_permit = True
        state.needs_permit = self.pick_peer(now) is not None
        return state.needs_permit

    def turn_to_peers(self, now):
        """Go on with other boxes if connections from here have failed.

        Connections may fail at once, before it is known that none succeeds.

        Returns
        -------
        bool
            False if there is no box to try, or if other reasons than the
            connections keep the request from the targets.
        """
        state = self._state
        state.is_unsendable = (
            state.origin is None
            and state.unsent_attempts > 0
            and state.has_sends_left()
            and self._view.has_available(state.work, now)
            and self.pick_peer(now) is not None
        )
        return state.is_unsendable
