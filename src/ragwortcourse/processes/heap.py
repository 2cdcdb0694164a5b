"""Settings of the C library's memory allocator."""

import contextlib
import ctypes
from typing import Final

# ``M_MMAP_THRESHOLD`` of ``malloc.h``.
MMAP_THRESHOLD_OPTION: Final = -3
# Initial value of the C library. The C library raises the threshold with each
# larger block that is freed, unless the threshold was set explicitly.
MMAP_THRESHOLD_BYTES: Final = 131_072


def fix_mmap_threshold() -> None:
    """Return freed blocks of chunk size to the operating system at once.

    Otherwise small objects between freed blocks keep the heap from shrinking.
    Nothing changes if the C library has no such option.
    """
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(MMAP_THRESHOLD_OPTION, MMAP_THRESHOLD_BYTES)
