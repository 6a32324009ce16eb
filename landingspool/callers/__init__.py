"""HTTP interface to callers."""
