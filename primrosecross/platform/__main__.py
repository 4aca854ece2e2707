"""Entry point of a daemon on the platform."""

import os

from primrosecross.adapters import process_start

process_start.prepare()

from primrosecross.platform import daemon  # noqa: E402 - takes a while

exit_code = daemon.main()
# Skips interpreter finalization, which on a slow VM takes longer than the stop
# limit allows.
os._exit(exit_code)
