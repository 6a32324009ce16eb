"""Decisions about relayed requests, without I/O or a clock of their own."""
