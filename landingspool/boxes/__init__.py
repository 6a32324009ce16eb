"""Links between our own boxes."""
