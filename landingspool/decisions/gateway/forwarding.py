"""Decides when requests are forwarded through another box, and which one."""


class Forwarding:
    """Forward nothing: no service is known to be cut off."""

    def is_cut_off(self, service, now):
        """Return whether only other boxes can reach a service."""
        return False

    def is_unreachable(self, service, now):
        """Return whether neither this box nor any other reaches a service."""
        return False

    def pick_peer(self, service, tried, now):
        """Return the name of a box that reaches a service, or None."""
        return None

    def record_sent(self, peer, now):
        """Record that a request was forwarded to a box."""

    def record_end(self, peer, now):
        """Record that a forwarded request has ended."""

    def record_failed(self, peer, now):
        """Record that a box can't be reached or can't reach the service."""
