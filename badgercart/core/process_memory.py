"""The memory of processes as the system sees it, and what the heap gives back to the system.

Source: proc(5), `statm`; malloc_trim(3), which only glibc has.
"""

from __future__ import annotations

import ctypes
import os
from collections.abc import Callable
from contextlib import suppress

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STATM_BYTES = 128
RESIDENT_FIELD = 1  # of statm, in pages


def _parse_resident(statm: bytes) -> int:
    """Return the resident memory in bytes."""
    return int(statm.split()[RESIDENT_FIELD]) * PAGE_BYTES


def open_statm() -> int:
    """Return a descriptor for `read_resident`, which no lack of descriptors concerns later."""
    return os.open("/proc/self/statm", os.O_RDONLY | os.O_CLOEXEC)


def read_resident(descriptor: int) -> int:
    """Return the resident memory of this process in bytes."""
    return _parse_resident(os.pread(descriptor, STATM_BYTES, 0))


def read_resident_of(process_id: int) -> int:
    """Return the resident memory of another process in bytes; 0 where it has ended."""
    with suppress(OSError, IndexError), open(f"/proc/{process_id}/statm", "rb") as file:
        return _parse_resident(file.read(STATM_BYTES))
    return 0


def heap_trimmer() -> Callable[[], None]:
    """Return what gives free pages of the heap back to the system."""
    try:
        malloc_trim = ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):  # another C library
        return lambda: None

    def trim() -> None:
        malloc_trim(0)

    return trim
