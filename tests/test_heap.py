"""Tests of :mod:`ragwortcourse.processes.heap`."""

import subprocess
import sys

# A window of chunks after a larger block, and small objects that stay between.
PROGRAM = """
import os
from measure.proc import read_resident
from ragwortcourse.processes.heap import fix_mmap_threshold
fix_mmap_threshold()
bytes(2 ** 22)
before = read_resident(os.getpid())
kept = []
chunks = []
for number in range(16):
    chunks.append(bytes([number]) * 2 ** 20)
    kept.append(bytes([number]) * 20000)
chunks.clear()
print(read_resident(os.getpid()) - before)
"""
CHUNK_BYTES = 1 << 20


class TestHeap:
    """Memory of chunks that were let go."""

    def test_chunks_go_back_to_the_system(self):
        """Of a window of 16 chunks less than one is still resident."""
        told = subprocess.run(
            (sys.executable, '-c', PROGRAM),
            capture_output=True,
            check=True,
            timeout=60,
        )
        assert int(told.stdout) < CHUNK_BYTES
