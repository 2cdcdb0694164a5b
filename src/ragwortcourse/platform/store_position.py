"""Position in the change history of the platform's store."""

import dataclasses
from typing import Final

# Era of answers that state none.
UNKNOWN_ERA: Final = 0


@dataclasses.dataclass(frozen=True, slots=True, order=True, kw_only=True)
class StorePosition:
    """Transaction of the store, ordered by era first.

    A store that comes back from an older copy begins a new era and gives out
    the same revisions again, for other transactions.

    :param era: number of the era; ``UNKNOWN_ERA`` if it was not stated.
    :param revision: number of the transaction within the era.
    """

    era: int
    revision: int

    def includes(self, other: 'StorePosition') -> bool:
        """Tell whether a transaction is this one, or one before it.

        Transactions of different eras can't be compared so.
        """
        return self.era == other.era and self.revision >= other.revision


def is_restored(before: int, after: int) -> bool:
    """Tell whether the store was restored between two eras.

    The first era that is stated after an unknown one is no restore.
    """
    return UNKNOWN_ERA < before < after
