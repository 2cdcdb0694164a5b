"""How the process takes memory from the system."""

import contextlib
import ctypes
from typing import Final

# ``M_MMAP_THRESHOLD`` of ``malloc.h``.
MMAP_THRESHOLD_OPTION: Final = -3
# The C library's own first value. It grows with each larger block that is
# freed, unless it was set.
MMAP_THRESHOLD_BYTES: Final = 131_072


def fix_mmap_threshold() -> None:
    """Give freed blocks as large as chunks back to the system at once.

    Otherwise small objects between them keep the heap from shrinking. Where
    the C library has no such option nothing changes.
    """
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(MMAP_THRESHOLD_OPTION, MMAP_THRESHOLD_BYTES)
