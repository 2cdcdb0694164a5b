"""Tests of :mod:`ragwortcourse.processes.heap`."""

import subprocess
import sys

# Freeing a large block raises the default threshold of the C library. Then a
# window of chunks is freed, with small objects left between the chunks.
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
    """Memory of freed chunks."""

    def test_chunks_go_back_to_the_system(self):
        """Less than one of 16 freed chunks is still resident."""
        done = subprocess.run(
            (sys.executable, '-c', PROGRAM),
            capture_output=True,
            check=True,
            timeout=60,
        )
        assert int(done.stdout) < CHUNK_BYTES
