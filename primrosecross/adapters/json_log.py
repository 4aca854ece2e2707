"""JSON log lines with a rate limit for each message.

Lines never contain keys, paths, headers or bodies: a request is identified by
its ID and the hash of its key.
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
    "cause",
    "lane",
    "calls_lost",
    "inbound_lost",
    "answers_cut",
    "answers_unsent",
    "age_ms",
    "silent_ms",
    "blocked_ms",
    "queued_frames",
    "queued_bytes",
    "unacknowledged_bytes",
    "unread_bytes",
    "requests_lost",
    "request_ids",
)
WINDOW_S = 10.0
FLUSH_INTERVAL_S = 0.2
MAX_QUEUED_LINES = 2000
WRITE_BYTES = 4096
MAX_UNWRITTEN_BYTES = 256 * 1024
MAX_LINES_PER_WINDOW = {
    logging.DEBUG: 1000,
    logging.INFO: 50,
    logging.WARNING: 10,
    logging.ERROR: 10,
}
# For daemons that log each request that failed.
FLEET_LIMITS = {
    logging.DEBUG: 0,
    logging.INFO: 200,
    logging.WARNING: 1000,
    logging.ERROR: 1000,
}


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object.

    Args:
        vm: Name of this VM, added to each line.
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
    emitted: int = 0
    suppressed: int = 0


class RateLimit(logging.Filter):
    """Limits the number of lines of each kind in a time window.

    The first line after suppressed ones carries their number. A kind is a
    logger, a level and a message before its arguments are formatted in.

    Args:
        limits: Maximum number of lines in a window, by level.
        window_s: Length of a window.
        now_s: Returns monotonic time.
    """

    def __init__(
        self,
        *,
        limits: dict[int, int] = MAX_LINES_PER_WINDOW,
        window_s: float = WINDOW_S,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._limits = limits
        self._window_s = window_s
        self._now_s = now_s
        self._windows: dict[tuple[str, int, str], _Window] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether a record is written."""
        now_s = self._now_s()
        kind = (record.name, record.levelno, str(record.msg))
        window = self._windows.setdefault(kind, _Window(now_s))
        if now_s - window.started_s >= self._window_s:
            window.started_s = now_s
            window.emitted = 0
        if window.emitted >= self._limits.get(record.levelno, 1):
            window.suppressed += 1
            return False
        window.emitted += 1
        if window.suppressed:
            record.suppressed = window.suppressed
            window.suppressed = 0
        return True


class BufferedHandler(logging.Handler):
    """Writes lines to a file descriptor without waiting for its reader.

    Lines are queued and written every FLUSH_INTERVAL_S. Lines beyond the queue
    limit are dropped and counted.

    Args:
        descriptor: File descriptor, which is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._queued_lines: list[str] = []
        self._unwritten = b""
        self._dropped_lines = 0
        self._flush_task: gevent.Greenlet | None = None

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a record."""
        if len(self._queued_lines) >= MAX_QUEUED_LINES:
            self._dropped_lines += 1
            return
        self._queued_lines.append(self.format(record))
        if self._flush_task is None:
            self._flush_task = gevent.spawn_later(FLUSH_INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Writes the queued lines."""
        self._flush_task = None
        lines, self._queued_lines = self._queued_lines, []
        if self._dropped_lines:
            lines.append(json.dumps({"dropped_lines": self._dropped_lines}))
            self._dropped_lines = 0
        data = self._unwritten + "".join(f"{line}\n" for line in lines).encode()
        while data:
            # Complete lines, up to the size of an atomic write to a pipe.
            chunk_end = data.rfind(b"\n", 0, WRITE_BYTES) + 1 or WRITE_BYTES
            try:
                written = os.write(self._descriptor, data[:chunk_end])
            except BlockingIOError:
                break
            except OSError:  # The reader is gone; the error cannot be logged.
                data = b""
                break
            data = data[written:]
        self._unwritten = data[:MAX_UNWRITTEN_BYTES]


def configure(
    *,
    vm: str,
    level: str,
    handler: logging.Handler | None = None,
    limits: dict[int, int] = MAX_LINES_PER_WINDOW,
) -> None:
    """Logs everything as JSON lines, by default to standard error."""
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(vm=vm))
    handler.addFilter(RateLimit(limits=limits))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    hub = gevent.get_hub()
    hub.print_exception = _log_unhandled
    # By default a SystemError, which a C library raises for a fault of its own
    # in one task, ends the process.
    hub.SYSTEM_ERROR = (KeyboardInterrupt, SystemExit)


def _log_unhandled(
    context: object,
    error_type: type[BaseException] | None,
    error: BaseException | None,
    traceback: types.TracebackType | None,
) -> None:
    """Logs the exception that ended a task, without a request's data.

    The arguments of the exception may contain a request, so only its type and
    the functions of the traceback are logged.
    """
    del context
    error_name = getattr(error_type, "__name__", "unknown")
    lines = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        lines.append(f"{code.co_name} line {traceback.tb_lineno}")
        traceback = traceback.tb_next
    logging.getLogger(__name__).error(
        "a task failed with %s in %s", error_name, " > ".join(lines)
    )
    del error
