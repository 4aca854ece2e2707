"""Router for servers that each hold sole ownership of their keys."""

__version__ = "0.1.0"
