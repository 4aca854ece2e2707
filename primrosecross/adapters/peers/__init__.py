"""Connections between daemons: frames, liveness, bodies, TLS."""
