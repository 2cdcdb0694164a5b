"""The whole path as separate processes, as ``make demo`` shows it."""

import pytest

from fakes.demo import run_demo


@pytest.mark.processes
class TestDemo:
    """Stand-ins, entry daemons and agents on loopback."""

    async def test_every_step_holds(self):
        """Weights land, a stream is answered, a charge runs once, all end."""
        await run_demo()
