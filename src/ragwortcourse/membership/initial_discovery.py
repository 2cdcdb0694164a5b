"""Whether a new daemon has seen the targets that it would choose from."""

from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.membership.directory import TargetDirectory

# A daemon that sees no target for so long is ready to say so to callers.
LONGEST_WAIT_SECONDS: Final = 3.0


class InitialDiscovery:
    """Over once every watched target was heard, or was given time to be."""

    def __init__(self, *, directory: TargetDirectory) -> None:
        self._directory = directory
        self._began_at = read_clock()
        self._over = False

    def has_completed(self) -> bool:
        """Tell whether the daemon can choose among targets by now."""
        self._over = self._over or self._is_seen() or self._has_waited()
        return self._over

    def _is_seen(self) -> bool:
        records = self._directory.records
        return bool(records) and all(
            record.status is not None for record in records
        )

    def _has_waited(self) -> bool:
        return read_clock() - self._began_at > LONGEST_WAIT_SECONDS
