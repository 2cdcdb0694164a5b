"""Tests of :mod:`ragwortcourse.forwarding.stated_version`."""

import pytest

from ragwortcourse.forwarding.stated_version import StatedVersion
from ragwortcourse.forwarding.version_source import VersionSource


def note_answer(
    stated: StatedVersion, number: int, *, sent_at: float, listed: int = 0
) -> None:
    """Apply the version of an answer that arrives soon after its request."""
    stated.note_answer(
        number, listed=listed, sent_at=sent_at, now=sent_at + 0.5
    )


class TestStatedVersion:
    """Whose word on the weights of a target counts."""

    def test_highest_version(self):
        """A version that is stated late does not replace a newer one."""
        stated = StatedVersion()
        note_answer(stated, 3, sent_at=1)
        stated.note_loader(2, 2)
        note_answer(stated, 2, sent_at=1.4)
        assert (stated.number, stated.source) == (3, VersionSource.ANSWER)

    def test_engine_that_is_older_than_its_loader_said(self):
        """An answer to a later request corrects the loader's word."""
        stated = StatedVersion()
        stated.note_loader(3, 2)
        note_answer(stated, 1, sent_at=2.1)
        assert (stated.number, stated.source) == (1, VersionSource.ANSWER)

    def test_answer_that_overtook_the_change(self):
        """An answer to an earlier request corrects nothing."""
        stated = StatedVersion()
        stated.note_loader(3, 2)
        note_answer(stated, 1, sent_at=1.9)
        assert stated.number == 3

    def test_unchanged_weights(self):
        """A loader whose engine did not change states nothing."""
        stated = StatedVersion()
        note_answer(stated, 2, sent_at=1)
        stated.note_loader(0, 2)
        assert stated.number == 2


class TestEngineThatIsSetBack:
    """VERSION: a belief in newer weights never fell.

    An engine was back on expired weights, and daemons went on sending to it
    although it stated its version.
    """

    def test_answer_on_an_older_version(self):
        """An answer to a later request corrects an earlier answer."""
        stated = StatedVersion()
        note_answer(stated, 6, sent_at=1)
        note_answer(stated, 5, sent_at=2)
        assert stated.read(0) == 5

    def test_entry_that_is_not_updated(self):
        """An answer to a later request corrects the entry as well."""
        stated = StatedVersion()
        stated.note_entry(6, 1)
        note_answer(stated, 5, sent_at=2, listed=6)
        assert stated.read(6) == 5

    def test_refusal_without_a_version(self):
        """A target that refuses its version is not believed to hold it."""
        stated = StatedVersion()
        stated.note_entry(6, 1)
        note_answer(stated, 5, sent_at=0)
        stated.note_refusal(6, held=None, sent_at=2, now=2.1)
        assert stated.read(6) == 5

    def test_refusal_with_a_version(self):
        """A refusal says what the target holds, be it older or newer."""
        stated = StatedVersion()
        stated.note_entry(6, 1)
        stated.note_refusal(6, held=5, sent_at=2, now=2.1)
        assert stated.read(6) == 5
        stated.note_refusal(5, held=7, sent_at=3, now=3.1)
        assert stated.read(6) == 7

    def test_refusal_that_was_overtaken(self):
        """A refusal of an earlier request takes nothing back."""
        stated = StatedVersion()
        stated.note_loader(6, 2)
        stated.note_refusal(6, held=None, sent_at=1.9, now=2.1)
        assert stated.read(0) == 6

    @pytest.mark.parametrize(
        'tell',
        [
            lambda stated: stated.note_loader(6, 4),
            lambda stated: note_answer(stated, 6, sent_at=4, listed=6),
            lambda stated: stated.note_entry(7, 4),
        ],
    )
    def test_held_again(self, tell):
        """The next word of anybody is believed again."""
        stated = StatedVersion()
        stated.note_entry(6, 1)
        note_answer(stated, 5, sent_at=2, listed=6)
        tell(stated)
        assert stated.read(6) == 6

    def test_answer_from_before(self):
        """An answer to a request from before the change is not believed."""
        stated = StatedVersion()
        stated.note_entry(6, 1)
        note_answer(stated, 5, sent_at=2, listed=6)
        note_answer(stated, 6, sent_at=1.9, listed=6)
        assert stated.read(6) == 5
