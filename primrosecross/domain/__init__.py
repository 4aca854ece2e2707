"""Decisions and the data classes they work on; no input or output."""
