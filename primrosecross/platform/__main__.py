"""Entry point of a daemon on the platform."""

import sys

from primrosecross.platform import daemon

sys.exit(daemon.main())
