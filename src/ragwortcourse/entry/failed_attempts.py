"""Failed attempts of one call."""

from ragwortcourse.entry.attempt_result import Failed
from ragwortcourse.identifiers import TargetName


class FailedAttempts:
    """Failed attempts of one call, in order, and what they rule out.

    An attempt that tells of a change of versions, the first of its call at
    that target, costs the target no work and is no retry: all targets may
    change within the time of one call.

    :ivar tried: targets to which the call is not sent again.
    :ivar was_told: true if the last attempt told of a change of versions.
    """

    def __init__(self) -> None:
        self.failures: list[Failed] = []
        self.tried: set[TargetName] = set()
        self.was_told = False
        self._changed: set[TargetName] = set()

    @property
    def tries(self) -> int:
        """Number of attempts that count as tries."""
        return len(self.failures) - len(self._changed)

    def note(self, target: TargetName, failed: Failed) -> None:
        """Note a failed attempt at a target.

        A target that told of a change may be asked again once.
        """
        self.failures.append(failed)
        self.was_told = failed.was_outdated and target not in self._changed
        if self.was_told:
            self._changed.add(target)
        else:
            self.tried.add(target)
