"""Discovery of targets after the start of a daemon."""

from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.membership.directory import TargetDirectory

# A daemon that has found no targets by then refuses callers by itself
# instead of staying unready.
DISCOVERY_TIMEOUT_SECONDS: Final = 3.0


class InitialDiscovery:
    """Discovery that ends when all watched targets answered, or by timeout."""

    def __init__(self, *, directory: TargetDirectory) -> None:
        self._directory = directory
        self._began_at = read_clock()
        self._over = False

    def has_completed(self) -> bool:
        """Tell whether all targets have answered or the timeout has passed."""
        self._over = (
            self._over or self._have_all_answered() or self._has_timed_out()
        )
        return self._over

    def _have_all_answered(self) -> bool:
        records = self._directory.records
        return bool(records) and all(
            record.status is not None for record in records
        )

    def _has_timed_out(self) -> bool:
        return read_clock() - self._began_at > DISCOVERY_TIMEOUT_SECONDS
