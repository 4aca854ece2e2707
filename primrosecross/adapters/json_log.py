"""Logs as JSON lines, bounded in number for each kind of message.

Lines never carry keys, paths, headers or bodies: a request is named by its id
and the hash of its key.
"""

import dataclasses
import json
import logging
import os
import sys
import time
import types
from collections.abc import Callable

import gevent

FIELDS = (
    "request_id",
    "key_hash",
    "service",
    "took_ms",
    "tried",
    "detail",
    "map_version",
    "proof_age_ms",
)
WINDOW_S = 10.0
FLUSH_S = 0.2
MAX_GATHERED = 2000
WRITE_BYTES = 4096
MAX_REST_BYTES = 256 * 1024
MAX_IN_WINDOW = {
    logging.DEBUG: 1000,
    logging.INFO: 50,
    logging.WARNING: 10,
    logging.ERROR: 10,
}


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object.

    Args:
        vm: This VM's name, put on each line.
    """

    def __init__(self, *, vm: str) -> None:
        super().__init__()
        self._vm = vm

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as JSON."""
        line = {
            "time_ms": int(record.created * 1000),
            "level": record.levelname,
            "vm": self._vm,
            "logger": record.name,
            "message": record.getMessage(),
        }
        for field in (*FIELDS, "suppressed"):
            if hasattr(record, field):
                line[field] = getattr(record, field)
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


@dataclasses.dataclass(slots=True)
class _Window:
    started_s: float
    passed: int = 0
    suppressed: int = 0


class RateLimit(logging.Filter):
    """Lets a bounded number of lines of each kind through in a time.

    The first line after some were held back says how many. A kind is a
    logger, a level and a message before its arguments are put in.

    Args:
        limits: Lines let through in each window, by level.
        window_s: Length of a window.
        now_s: Source of monotonic time.
    """

    def __init__(
        self,
        *,
        limits: dict[int, int] = MAX_IN_WINDOW,
        window_s: float = WINDOW_S,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._limits = limits
        self._window_s = window_s
        self._now_s = now_s
        self._windows: dict[tuple[str, int, str], _Window] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Tells whether a record is written."""
        now_s = self._now_s()
        kind = (record.name, record.levelno, str(record.msg))
        window = self._windows.setdefault(kind, _Window(now_s))
        if now_s - window.started_s >= self._window_s:
            window.started_s = now_s
            window.passed = 0
        if window.passed >= self._limits.get(record.levelno, 1):
            window.suppressed += 1
            return False
        window.passed += 1
        if window.suppressed:
            record.suppressed = window.suppressed
            window.suppressed = 0
        return True


class GatheringHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines are gathered and written every FLUSH_S. What its reader does not
    take in time is dropped and counted.

    Args:
        descriptor: Where lines go; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: list[str] = []
        self._rest = b""
        self._dropped = 0
        self._task: gevent.Greenlet | None = None

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a record."""
        if len(self._lines) >= MAX_GATHERED:
            self._dropped += 1
            return
        self._lines.append(self.format(record))
        if self._task is None:
            self._task = gevent.spawn_later(FLUSH_S, self.flush)

    def flush(self) -> None:
        """Writes what is gathered."""
        self._task = None
        lines, self._lines = self._lines, []
        if self._dropped:
            lines.append(json.dumps({"dropped_lines": self._dropped}))
            self._dropped = 0
        data = self._rest + "".join(f"{line}\n" for line in lines).encode()
        while data:
            # Whole lines up to what a pipe takes at once.
            end = data.rfind(b"\n", 0, WRITE_BYTES) + 1 or WRITE_BYTES
            try:
                written = os.write(self._descriptor, data[:end])
            except BlockingIOError:
                break
            except OSError:  # The reader is gone; there is nobody to tell.
                data = b""
                break
            data = data[written:]
        self._rest = data[:MAX_REST_BYTES]


def configure(
    *,
    vm: str,
    level: str,
    handler: logging.Handler | None = None,
    limits: dict[int, int] = MAX_IN_WINDOW,
) -> None:
    """Sends all logs as JSON lines, to standard error unless told otherwise."""
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(vm=vm))
    handler.addFilter(RateLimit(limits=limits))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    gevent.get_hub().print_exception = _log_unhandled


def _log_unhandled(
    context: object,
    kind: type[BaseException] | None,
    error: BaseException | None,
    trace: types.TracebackType | None,
) -> None:
    """Logs what ended a task, without its arguments, which may be a request."""
    del context
    name = getattr(kind, "__name__", "unknown")
    lines = []
    while trace is not None:
        code = trace.tb_frame.f_code
        lines.append(f"{code.co_name} line {trace.tb_lineno}")
        trace = trace.tb_next
    logging.getLogger(__name__).error(
        "a task ended by %s in %s", name, " > ".join(lines)
    )
    del error
