"""Contract tests: what each interface's client makes of every answer."""
