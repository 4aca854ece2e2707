"""Runs benchmarks and prints their figures as JSON lines.

Each module of this package with a run() that returns results is one.
"""

import dataclasses
import importlib
import json
import pkgutil
import sys

from gevent import monkey

import bench

SUPPORT = frozenset({"__main__", "load", "result"})


def main(names: list[str]) -> int:
    """Runs the named benchmarks, or all; returns the exit code."""
    found = [m.name for m in pkgutil.iter_modules(bench.__path__)]
    chosen = names or sorted(set(found) - SUPPORT)
    missed = 0
    for name in chosen:
        module = importlib.import_module(f"bench.{name}")
        if not hasattr(module, "run"):
            continue
        for item in module.run():
            print(json.dumps(dataclasses.asdict(item)), flush=True)
            missed += not item.met
    return 1 if missed else 0


if __name__ == "__main__":
    monkey.patch_all()
    sys.exit(main(sys.argv[1:]))
