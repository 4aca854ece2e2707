"""What a process needs before its other modules are imported.

Imports only modules that the interpreter has loaded, as a supervisor may signal
a process at any moment of its start.
"""

import contextlib
import os
import resource
import signal

HELD_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
_STANDARD_DESCRIPTORS = (0, 1, 2)


def prepare() -> None:
    """Holds signals, opens closed standard streams, allows descriptors."""
    hold_signals()
    open_standard_streams()
    raise_descriptor_limit()


def hold_signals() -> None:
    """Holds signals until deliver_signals(); by default they end a process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD_SIGNALS)


def deliver_signals(*numbers: signal.Signals) -> None:
    """Delivers held signals, which have handlers now, and those to come."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)


def open_standard_streams() -> None:
    """Opens the null device in place of closed standard streams.

    Otherwise the first sockets get their descriptors, and log lines are written
    to connections.
    """
    for descriptor in _STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # The lowest descriptor that is free is this one.
            os.open(os.devnull, os.O_RDWR)


def raise_descriptor_limit() -> None:
    """Raises the limit of open files to what the system grants the process."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    # A system that refuses leaves the lower limit, which is no error.
    with contextlib.suppress(OSError, ValueError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
