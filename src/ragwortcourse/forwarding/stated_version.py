"""Version of the weights of one target, as stated besides its row."""

import dataclasses
import math

from ragwortcourse.forwarding.version_source import VersionSource


@dataclasses.dataclass(slots=True, kw_only=True)
class StatedVersion:
    """The version of the weights that one incarnation of a target holds.

    Statements overtake each other, so the highest version counts, with one
    exception. A loader states what its engine holds after a change of weights.
    If the engine answers a later request on older weights, the loader was
    wrong, or spoke of an earlier incarnation at the same address.

    :param number: zero until a version was stated.
    :param stated_at: monotonic seconds at which the statement arrived.
    """

    number: int = 0
    source: VersionSource = VersionSource.NOBODY
    stated_at: float = -math.inf

    def note_loader(self, number: int, now: float) -> None:
        """Apply the word of the target's loader; zero states nothing."""
        if number > self.number:
            self.number = number
            self.source = VersionSource.LOADER
            self.stated_at = now

    def note_answer(self, number: int, *, sent_at: float) -> None:
        """Apply the version on which an answer begins.

        :param sent_at: monotonic seconds at which the request was sent.
        """
        is_corrected = (
            self.source is VersionSource.LOADER and sent_at > self.stated_at
        )
        if number > self.number or (is_corrected and number < self.number):
            self.number = number
            self.source = VersionSource.ANSWER
