"""Test of ``make demo``: publication to tracing across processes."""

import pytest

from fakes.demo import run_demo


@pytest.mark.processes
class TestDemo:
    """Stand-ins, entry daemons and agents as processes on loopback."""

    async def test_every_step_holds(self):
        """Weights land, a chat streams, a charge runs once, all exit with 0."""
        await run_demo()
