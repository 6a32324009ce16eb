"""Tests: unit tests in virtual time, and a few on real processes."""
