"""HTTP towards operators."""
