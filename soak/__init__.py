"""A randomized fault soak of real processes on one machine."""
