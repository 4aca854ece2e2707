"""Memory of this process: how large blocks are allocated, and its size."""

import ctypes
import logging
import os
import pathlib
import resource

MMAP_THRESHOLD_BYTES = 1 << 20
_M_MMAP_THRESHOLD = -3
_STATM = pathlib.Path("/proc/self/statm")
_RESIDENT_FIELD = 1
_BYTES_PER_KB = 1024

_logger = logging.getLogger(__name__)


def map_large_blocks() -> None:
    """Has large blocks mapped on their own, so that they leave no holes.

    By default glibc raises the threshold with each large block that is freed.
    Bodies then grow inside the heap, which ends up several times as large.

    Source: mallopt(3), M_MMAP_THRESHOLD.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None or not mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES):
        _logger.warning("large blocks of memory are not mapped on their own")


def resident_bytes() -> int:
    """Returns the resident memory of this process.

    Raises:
        OSError: The system does not tell.
    """
    pages = int(_STATM.read_text().split()[_RESIDENT_FIELD])
    return pages * os.sysconf("SC_PAGE_SIZE")


def peak_bytes() -> int:
    """Returns the highest resident memory of this process so far."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss * _BYTES_PER_KB
