"""Record of the daemons that recently refused connections or timed out."""

from collections.abc import Iterable
from typing import Final

from ragwortcourse.clock import read_clock

# Time within which a stopped daemon has restarted or has been replaced.
SILENT_SECONDS: Final = 2.0


class PeerReach:
    """Order in which daemons are asked, with those that are down last.

    Load pattern: daemons are stopped in turn while weights are downloaded.
    Without this record, each chunk requested from a daemon that is down would
    wait for its own connection time-out.
    """

    def __init__(self) -> None:
        self._silent_until: dict[str, float] = {}

    def note_silent(self, address: str) -> None:
        """Note that a connection to an address failed."""
        self._silent_until[address] = read_clock() + SILENT_SECONDS

    def note_answered(self, address: str) -> None:
        """Note that an address answered, whatever it failed to do before."""
        self._silent_until.pop(address, None)

    def is_silent(self, address: str) -> bool:
        """Tell whether a connection to an address failed recently."""
        return self._silent_until.get(address, 0) > read_clock()

    def list_responsive(self, addresses: Iterable[str]) -> list[str]:
        """List the addresses that are not silent."""
        return [each for each in addresses if not self.is_silent(each)]

    def order(self, addresses: list[str]) -> list[str]:
        """Return the addresses in order, with the silent ones last."""
        return sorted(addresses, key=self.is_silent)
