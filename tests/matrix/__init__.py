"""The fault matrix: every fault at every step, in virtual time."""
