"""Bounded store of crash evidence by suspect."""

import collections
from collections.abc import Callable, Hashable, ItemsView
from typing import Final, Generic, TypeVar

# Time in which evidence counts.
SUSPICION_SECONDS: Final = 600.0

Key = TypeVar('Key', bound=Hashable)
Record = TypeVar('Record')


class EvidenceStore(Generic[Key, Record]):
    """Records by suspect; the oldest is evicted above a limit.

    :param limit: maximum number of records.
    :param is_kept: true for records that are evicted only if there are no
        others.
    """

    def __init__(
        self, *, limit: int, is_kept: Callable[[Record], bool]
    ) -> None:
        self._limit = limit
        self._is_kept = is_kept
        self._records: collections.OrderedDict[Key, Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def find(self, suspect: Key) -> Record | None:
        """Find a record."""
        return self._records.get(suspect)

    def add(self, suspect: Key, record: Record) -> None:
        """Add a record; evict another one if there are too many."""
        self._records[suspect] = record
        if len(self._records) > self._limit:
            oldest = next(iter(self._records))
            self._records.pop(
                next(
                    (
                        each
                        for each, known in self._records.items()
                        if each != suspect and not self._is_kept(known)
                    ),
                    oldest,
                )
            )

    def remove(self, suspect: Key) -> None:
        """Remove a record."""
        self._records.pop(suspect, None)

    def list_items(self) -> ItemsView[Key, Record]:
        """List the records, oldest first."""
        return self._records.items()
