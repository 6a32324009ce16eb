"""Contract tests: how the client of each interface handles every answer."""
