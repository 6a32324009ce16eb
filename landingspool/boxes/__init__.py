"""Transport between boxes: authenticated links and datagrams."""
