"""Stand-ins for the platform, the runners and the clients of the review."""
