"""Adapter to the platform of the users: names, formats and calls only."""
