"""Tests that start the daemons and stand-ins as separate processes."""
