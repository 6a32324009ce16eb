"""Clients of the platform: log, weight store, live list."""
