"""Relays requests to targets by the routes that operators publish."""
