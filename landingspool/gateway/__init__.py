"""HTTP gateway: relays requests to targets by the published routes."""
