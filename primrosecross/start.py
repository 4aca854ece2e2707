"""Entry point of primrosecrossd, which holds signals before it imports."""

import importlib

from primrosecross.adapters import process_start


def main() -> None:
    """Runs the daemon."""
    process_start.prepare()
    importlib.import_module("primrosecross.daemon").main()
