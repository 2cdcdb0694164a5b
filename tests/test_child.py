"""Tests of :mod:`fakes.child`."""

import asyncio
import signal
import subprocess
import time

import pytest

from fakes.child import Child
from fakes.soak_watch import LOOP_PERIOD_SECONDS, record_stalls

START_SECONDS = 1.5


class SlowStart(subprocess.Popen):
    """A process start that takes ``START_SECONDS``, as on a busy machine."""

    def __init__(self, *arguments, **options) -> None:
        time.sleep(START_SECONDS)
        super().__init__(*arguments, **options)


@pytest.fixture
def child(tmp_path):
    """A long-running process that has not been started."""
    return Child(name='c', module='http.server', log=tmp_path / 'c.log')


@pytest.mark.processes
class TestChild:
    """Start and end of processes from an event loop that serves stand-ins."""

    async def test_start(self, monkeypatch, child):
        """A slow start does not block the event loop that serves stand-ins."""
        monkeypatch.setattr(subprocess, 'Popen', SlowStart)
        stalls = []
        noting = asyncio.create_task(record_stalls(stalls))
        await asyncio.sleep(0)
        await child.start('0')
        await asyncio.sleep(2 * LOOP_PERIOD_SECONDS)
        noting.cancel()
        child.send(signal.SIGKILL)
        assert await child.wait() == -signal.SIGKILL
        # A busy machine may add shorter stalls.
        assert (
            max((each.seconds for each in stalls), default=0)
            < START_SECONDS / 2
        )

    async def test_no_shared_memory_until_the_program_runs(self):
        """A start blocks only the thread that waits for it.

        With vfork the whole interpreter waits for the new program.
        """
        assert not subprocess._USE_VFORK

    async def test_wait(self, child):
        """All waiters get the exit status, also after the end."""
        await child.start('0')
        assert child.running
        with pytest.raises(TimeoutError):
            await child.wait(0.05)
        waiting = asyncio.gather(child.wait(), child.wait())
        await asyncio.sleep(0)
        child.send(signal.SIGTERM)
        assert await waiting == [-signal.SIGTERM] * 2
        assert not child.running
        assert await child.wait() == -signal.SIGTERM

    async def test_wait_for_handler(self, child):
        """The interpreter catches SIGINT but leaves the action of SIGHUP."""
        await child.start('0')
        await child.wait_for_handler(signal.SIGINT)
        with pytest.raises(TimeoutError):
            await child.wait_for_handler(signal.SIGHUP, seconds=0.2)
        child.send(signal.SIGKILL)
        await child.wait()
        # There is nothing to wait for after the end.
        await child.wait_for_handler(signal.SIGHUP)
