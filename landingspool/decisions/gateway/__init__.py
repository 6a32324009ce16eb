"""What decides about relayed requests: pure, records and the time in."""
