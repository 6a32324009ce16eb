"""Tests of the gateway: pure decisions, heads, relaying, the whole box."""
