"""All decision logic; nothing in this package does input or output."""
