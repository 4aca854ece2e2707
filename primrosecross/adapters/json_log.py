"""Logs as JSON lines."""

import json
import logging
import sys


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
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line)


def configure(*, vm: str, level: str) -> None:
    """Sends all logs to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(vm=vm))
    logging.basicConfig(level=level, handlers=[handler], force=True)
