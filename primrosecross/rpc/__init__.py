"""Operator protocol: the schema file and the code generated from it."""
