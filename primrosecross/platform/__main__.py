"""Entry point of a daemon on the platform."""

import os
import sys

from primrosecross.platform import daemon

code = daemon.main()
sys.stdout.flush()
# Skips the interpreter's teardown, which on a slow VM outlasts a stop's limit.
os._exit(code)
