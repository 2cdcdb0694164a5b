"""Tests of :mod:`ragwortcourse.forwarding.stated_version`."""

from ragwortcourse.forwarding.stated_version import StatedVersion
from ragwortcourse.forwarding.version_source import VersionSource


class TestStatedVersion:
    """Whose word on the weights of a target counts."""

    def test_highest_version(self):
        """A version that is stated late does not replace a newer one."""
        stated = StatedVersion()
        stated.note_answer(3, sent_at=1)
        stated.note_loader(2, 2)
        stated.note_answer(2, sent_at=3)
        assert (stated.number, stated.source) == (3, VersionSource.ANSWER)

    def test_engine_that_is_older_than_its_loader_said(self):
        """An answer to a later request corrects the loader's word."""
        stated = StatedVersion()
        stated.note_loader(3, 2)
        stated.note_answer(1, sent_at=2.1)
        assert (stated.number, stated.source) == (1, VersionSource.ANSWER)

    def test_answer_that_overtook_the_change(self):
        """An answer to an earlier request corrects nothing."""
        stated = StatedVersion()
        stated.note_loader(3, 2)
        stated.note_answer(1, sent_at=1.9)
        assert stated.number == 3

    def test_unchanged_weights(self):
        """A loader whose engine did not change states nothing."""
        stated = StatedVersion()
        stated.note_answer(2, sent_at=1)
        stated.note_loader(0, 2)
        assert stated.number == 2
