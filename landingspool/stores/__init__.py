"""Client of store boxes."""
