"""HTTP towards callers."""
