"""Tests of parts of prompts that crash the targets of forwarders."""

import pytest

from fakes.crashing_parts import CrashingParts
from fakes.fleet_parts import FLEET

CONTACT_SECONDS = FLEET.contact_ms / 1000
# Requests that the users allow once all daemons must know of five crashes.
ALLOWED = 3
CRASHES = 5
# The users' bound on the sound requests that begin, against those of calm
# times, from twice the contact time after the fifth crash.
SOUND_SHARE = 0.5


class TestCrashingPart:
    """Requests that share a part of their prompt, no two alike."""

    @pytest.mark.parametrize('framed', [True, False])
    async def test_part_that_crashed_five_targets_is_sent_on(self, framed):
        """All daemons hold back a part, and serve requests without it."""
        stage = CrashingParts(framed=framed)
        async with stage.fleet.exit_stack:
            await stage.fleet.open(targets=10, forwarders=3, plain=False)
            await stage.play(seconds=14)
        fifth_at = stage.fleet.ended[CRASHES - 1]
        held_from = fifth_at + CONTACT_SECONDS
        assert stage.count_bad(after=held_from) <= ALLOWED
        served_from = fifth_at + 2 * CONTACT_SECONDS
        assert stage.compute_served(after=served_from) >= SOUND_SHARE
