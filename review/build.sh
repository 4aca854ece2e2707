#!/usr/bin/env bash
# The stand-ins use Python's standard library alone: nothing is compiled. This
# checks that they and the daemon's libraries can be loaded.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:review python3 -c "import harness, primrosecross.platform.daemon"
