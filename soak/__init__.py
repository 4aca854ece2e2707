"""Randomized soak: the real programs under faults from outside."""
