"""Version of the weights of one target, as stated besides its row."""

import dataclasses
import math

from ragwortcourse.forwarding.version_source import VersionSource


@dataclasses.dataclass(slots=True, kw_only=True)
class StatedVersion:
    """The version of the weights that one incarnation of a target holds.

    Load pattern: an engine is set back to an older version, as it accepts an
    order late, or its loader states a version of an earlier incarnation.

    Statements overtake each other, so the highest version counts until the
    target itself disproves it: by an answer on an older version, or a refusal,
    to a request that was sent after the statement.

    :param number: zero until a version was stated.
    :param stated_at: monotonic seconds at which the newest statement arrived.
    :param disproved: version that the target does not hold, whoever said so;
        zero if none.
    """

    number: int = 0
    source: VersionSource = VersionSource.NOBODY
    stated_at: float = -math.inf
    disproved: int = 0
    _listed: int = 0

    def read(self, listed: int) -> int:
        """Return the version that the target is believed to hold, or zero.

        :param listed: version of the target's entry, zero if it has none.
        """
        stated = {self.number, listed} - {self.disproved}
        return max(stated, default=0)

    def note_entry(self, listed: int, now: float) -> None:
        """Apply a change of the version of the target's entry."""
        if listed != self._listed:
            self._listed = listed
            self.stated_at = now
            self.disproved = 0

    def note_loader(self, number: int, now: float) -> None:
        """Apply the word of the target's loader; zero states nothing."""
        is_held_again = bool(number) and number == self.disproved
        if number > self.number or is_held_again:
            self._state(number, VersionSource.LOADER, now)

    def note_answer(
        self, number: int, *, listed: int, sent_at: float, now: float
    ) -> None:
        """Apply the version that an answer states.

        :param listed: version of the target's entry.
        :param sent_at: monotonic seconds at which the request was sent.
        """
        believed = self.read(listed)
        is_newer = sent_at > self.stated_at
        if number > believed and (is_newer or number != self.disproved):
            self._state(number, VersionSource.ANSWER, now)
        elif number < believed and is_newer:
            self._state(number, VersionSource.ANSWER, now)
            self.disproved = believed

    def note_refusal(
        self, expected: int, *, held: int | None, sent_at: float, now: float
    ) -> None:
        """Apply a refusal of a request that expected a version.

        :param held: version that the refusal states, if any.
        :param sent_at: monotonic seconds at which the request was sent.
        """
        if held is not None:
            self.note_answer(held, listed=expected, sent_at=sent_at, now=now)
        elif sent_at > self.stated_at:
            self.disproved = expected
            self.stated_at = now

    def _state(self, number: int, source: VersionSource, now: float) -> None:
        self.number = number
        self.source = source
        self.stated_at = now
        if self.disproved <= number:
            self.disproved = 0
