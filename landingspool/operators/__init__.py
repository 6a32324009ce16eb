"""The HTTP interface for operators."""
