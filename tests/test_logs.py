"""Tests of logging: bounded in volume, and never blocking requests."""

import json
import logging
import os
import queue
import subprocess
import sys
import time

import pytest

from ragwortcourse.telemetry.line_queue import DROPPED, DroppingQueueHandler
from ragwortcourse.telemetry.line_rate import LINES_AT_ONCE, LineRateFilter


def make_record(message: str, **fields: object) -> logging.LogRecord:
    """Make a log record with extra fields."""
    record = logging.LogRecord(
        'part', logging.INFO, __file__, 1, message, None, None
    )
    for name, content in fields.items():
        setattr(record, name, content)
    return record


class TestLineQueue:
    """The bounded queue of log lines."""

    def test_never_waits(self):
        """Lines beyond the queue size are dropped without blocking."""
        lines: queue.Queue = queue.Queue(2)
        handler = DroppingQueueHandler(lines=lines)
        for number in range(10):
            handler.handle(make_record(str(number)))
        assert [lines.get().getMessage() for _ in range(2)] == ['0', '1']

    def test_tells_of_dropped_lines(self):
        """After a drop, the first queued line gives the number dropped."""
        lines: queue.Queue = queue.Queue(2)
        handler = DroppingQueueHandler(lines=lines)
        for number in range(5):
            handler.handle(make_record(str(number)))
        lines.get()
        lines.get()
        handler.handle(make_record('after'))
        warning = lines.get()
        assert (warning.getMessage(), warning.lines) == (DROPPED, 3)
        assert lines.get().getMessage() == 'after'


class TestLineRate:
    """The rate limit on lines about requests."""

    def test_bounded(self):
        """A burst of refusals writes no more lines than the limit."""
        rate = LineRateFilter()
        record = make_record('refused', request='a')
        passed = sum(rate.filter(record) for _ in range(5000))
        assert passed <= LINES_AT_ONCE + 50

    def test_process_lines_pass(self):
        """Lines about the process itself are never dropped."""
        rate = LineRateFilter()
        for _ in range(5000):
            rate.filter(make_record('refused', request='a'))
        assert rate.filter(make_record('store lost'))

    def test_counts(self, monkeypatch):
        """The next line that passes gives the number of dropped lines."""
        now = time.monotonic()
        monkeypatch.setattr(time, 'monotonic', lambda: now)
        rate = LineRateFilter()
        record = make_record('refused', request='a')
        left_out = sum(not rate.filter(record) for _ in range(1000))
        now += 10
        later = make_record('refused', request='b')
        assert rate.filter(later)
        assert later.lines_left_out == left_out


SCRIPT = """
import logging, sys, time
from fakes.fleet_parts import make_settings
from ragwortcourse.telemetry.logs import set_up_logging
flush = set_up_logging(make_settings())
log = logging.getLogger('part')
slowest = 0
for number in range(20000):
    began = time.monotonic()
    log.info('x' * 500)
    slowest = max(slowest, time.monotonic() - began)
flush()
sys.stderr.write(str(slowest))
"""


@pytest.mark.processes
class TestUnreadPipe:
    """A process whose standard output goes to a pipe."""

    def test_costs_nothing(self):
        """An unread pipe blocks neither log calls nor the exit."""
        reading, writing = os.pipe()
        with subprocess.Popen(
            [sys.executable, '-c', SCRIPT],
            stdout=writing,
            stderr=subprocess.PIPE,
            text=True,
        ) as process:
            os.close(writing)
            slowest = process.communicate(timeout=60)[1]
            os.close(reading)
        assert process.returncode == 0
        assert float(slowest.splitlines()[-1]) < 1

    def test_read_pipe(self):
        """A pipe that is read delivers whole JSON lines."""
        finished = subprocess.run(
            [
                sys.executable,
                '-c',
                SCRIPT.replace('20000', '50'),
            ],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        lines = [json.loads(line) for line in finished.stdout.splitlines()]
        assert len(lines) == 50
        assert {line['daemon'] for line in lines} == {'entry-1'}
