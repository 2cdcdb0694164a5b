"""Rounds of restores of the store, with changes and faults around them."""

from fakes import restore_daemon
from fakes.restore_rounds import count_most, play_rounds
from ragwortcourse.platform.restore_hold import RestoreHold

SEEDS = (9, 11, 14, 18)


async def test_rounds():
    """No promise is broken in a few seeded rounds."""
    found = await play_rounds(SEEDS, jobs=len(SEEDS))
    assert found == {seed: set() for seed in SEEDS}


class TestChecks:
    """Checks of the rounds find what they look for."""

    def test_most_in_a_second(self):
        """The busiest second may begin with any event."""
        assert count_most([0, 0.6, 1.2, 1.5, 3]) == 3
        assert not count_most([])

    async def test_finds_a_lifted_withdrawal(self, monkeypatch):
        """Rounds in which daemons hold nothing have findings."""
        monkeypatch.setattr(
            restore_daemon,
            'RestoreHold',
            lambda seconds: RestoreHold(seconds=0),
        )
        found = await play_rounds(SEEDS, jobs=len(SEEDS))
        assert any(
            'lifted' in text for texts in found.values() for text in texts
        )
