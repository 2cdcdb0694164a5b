"""Bounded store of crash evidence by request."""

import collections
from collections.abc import Callable, ItemsView
from typing import Final, Generic, TypeVar

# Time in which evidence against a request counts.
SUSPICION_SECONDS: Final = 600.0

Record = TypeVar('Record')


class EvidenceStore(Generic[Record]):
    """Records by request fingerprint; the oldest is evicted above a limit.

    :param limit: maximum number of records.
    :param is_kept: true for records that are evicted only if there are no
        others.
    """

    def __init__(
        self, *, limit: int, is_kept: Callable[[Record], bool]
    ) -> None:
        self._limit = limit
        self._is_kept = is_kept
        self._records: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def find(self, fingerprint: str) -> Record | None:
        """Find a record."""
        return self._records.get(fingerprint)

    def add(self, fingerprint: str, record: Record) -> None:
        """Add a record; evict another one if there are too many."""
        self._records[fingerprint] = record
        if len(self._records) > self._limit:
            oldest = next(iter(self._records))
            self._records.pop(
                next(
                    (
                        each
                        for each, known in self._records.items()
                        if each != fingerprint and not self._is_kept(known)
                    ),
                    oldest,
                )
            )

    def remove(self, fingerprint: str) -> None:
        """Remove a record."""
        self._records.pop(fingerprint, None)

    def list_items(self) -> ItemsView[str, Record]:
        """List the records, oldest first."""
        return self._records.items()
