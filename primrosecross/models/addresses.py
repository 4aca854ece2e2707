"""Network addresses as text."""

import ipaddress

MAX_PORT = 65_535


def parse(address: str) -> tuple[str, int]:
    """Returns the IP and port of "ip:port".

    Raises:
        ValueError: The IP is invalid or the port is not from 1 to 65535.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError(f"{port[:8]!r} is not a port")
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"port {port} is not from 1 to {MAX_PORT}")
    return host, int(port)


def check(address: str) -> str:
    """Returns an address unchanged; raises ValueError if it is invalid."""
    parse(address)
    return address
