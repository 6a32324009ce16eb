"""Everything that decides; no input or output is reached from here."""
