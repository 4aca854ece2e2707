"""What a process needs before its other modules are imported.

Imports only modules that the interpreter has loaded, as a supervisor may signal
a process at any moment of its start.
"""

import signal

HELD_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


def hold_signals() -> None:
    """Holds signals until deliver_signals(); by default they end a process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD_SIGNALS)


def deliver_signals(*numbers: signal.Signals) -> None:
    """Delivers held signals, which have handlers now, and those to come."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)
