"""Virtual time: real tasks of several boxes on loops that we step."""
