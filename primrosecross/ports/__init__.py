"""Protocols through which the domain reaches the outside."""
