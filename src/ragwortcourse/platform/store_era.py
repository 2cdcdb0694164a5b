"""Era of the platform's store, as its answers state it."""

import asyncio
import logging
from typing import Final

from opentelemetry.metrics import get_meter

from ragwortcourse.platform.store_position import UNKNOWN_ERA, is_restored

# Of any number that counts restores; longer digits are no such number.
MAX_DIGITS: Final = 18

RESTORES: Final = get_meter(__name__).create_counter(
    'ragwortcourse.forwarding.store_restores'
)
LOGGER: Final = logging.getLogger(__name__)


class StoreEra:
    """The newest era that the store has stated.

    :ivar newest: ``UNKNOWN_ERA`` until an answer states an era.
    """

    def __init__(self) -> None:
        self.newest = UNKNOWN_ERA
        self._reported: str | None = None
        self._rose = asyncio.Event()

    def read(self, header: str | None) -> int:
        """Return the era of an answer, from its header.

        An answer without a readable era counts as one of the newest era. An
        older era is returned as it is: the answer may have been under way
        while the store was restored.
        """
        era = _decode(header)
        if era is None or era < self.newest:
            self._report(header)
        if era is None:
            return self.newest
        self.hear(era)
        return era

    def hear(self, era: int) -> None:
        """Note an era that another daemon read from the store."""
        if era > self.newest:
            self._raise(era)

    async def await_newer(self, era: int) -> None:
        """Wait until the store has stated a newer era."""
        while self.newest <= era:
            await self._rose.wait()

    def _raise(self, era: int) -> None:
        if is_restored(self.newest, era):
            RESTORES.add(1)
            LOGGER.warning(
                'store came back from an older copy; its newest changes are '
                'lost until they are written again',
                extra={'era': era, 'era_before': self.newest},
            )
        self.newest = era
        self._rose.set()
        self._rose = asyncio.Event()

    def _report(self, header: str | None) -> None:
        """Log a header without a usable era, repeated ones only once."""
        stated = header or 'nothing'
        is_expected = header is None and self.newest == UNKNOWN_ERA
        if stated == self._reported or is_expected:
            return
        self._reported = stated
        LOGGER.warning(
            'answer of the store states no era, or an earlier one',
            extra={'stated': stated, 'newest': self.newest},
        )


def _decode(header: str | None) -> int | None:
    if header is None or len(header) > MAX_DIGITS:
        return None
    return int(header) if header.isascii() and header.isdigit() else None
