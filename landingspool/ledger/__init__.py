"""Clients and followers of the platform's log and its list of live boxes."""
