"""Validated models of everything that crosses the border."""
