"""Implementations of the ports, one outside system a module."""
