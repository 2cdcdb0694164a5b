"""Version of the weights of one target, as stated besides its row."""

import dataclasses

from ragwortcourse.forwarding.version_source import VersionSource


@dataclasses.dataclass(slots=True, kw_only=True)
class StatedVersion:
    """The highest version stated for one incarnation of a target.

    :param number: zero until a version was stated.
    """

    number: int = 0
    source: VersionSource = VersionSource.NOBODY

    def note(self, number: int, source: VersionSource) -> None:
        """Apply a statement; zero states nothing."""
        if number > self.number:
            self.number = number
            self.source = source
