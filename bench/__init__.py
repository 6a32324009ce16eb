"""The load tool, the experiments and the demo."""
