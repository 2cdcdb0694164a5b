"""Lease with a fencing number for orders to one target's engine."""

import asyncio
import dataclasses
import logging
import random
from typing import Annotated, Final

import msgspec

from ragwortcourse.bounded import MAX_WHOLE
from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.decoding import decode_json
from ragwortcourse.identifiers import FencingNumber, TargetName
from ragwortcourse.storage.row_change import replace_row
from ragwortcourse.storage.table import (
    CommitOutcome,
    Committed,
    Row,
    RowRead,
    TableKey,
    TableService,
)
from ragwortcourse.unreadable import UnreadableError

LEASE_SECONDS: Final = 30.0
# Limit for waiting on an order.
LONGEST_ORDER_SECONDS: Final = 20.0
# An engine that was silent may follow an order for this long after its agent
# stopped waiting for the answer.
LATE_ORDER_SECONDS: Final = 20.0
TOKEN_BITS: Final = 64

LOGGER: Final = logging.getLogger(__name__)


class OrderLeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """Lease row of one target.

    :param fencing: number that grows with each claim.
    :param holder: token of the agent process that claimed the lease.
    :param released: whether the holder has stopped sending orders.
    """

    fencing: Annotated[FencingNumber, msgspec.Meta(ge=0, le=MAX_WHOLE)]
    holder: str
    released: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseHeld:
    """Orders may be sent with this fencing number until the lease expires."""

    fencing: FencingNumber


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRefused:
    """No orders may be sent.

    :param superseded: whether another agent has permanently taken over the
        target.
    """

    detail: str
    superseded: bool = False


LeaseOutcome = LeaseHeld | LeaseRefused


class OrderLease:
    """Lease acquired before orders and released after them.

    The lease is not renewed, so an idle target causes no writes in the table
    service.

    An order without an answer may still be followed, so that the lease is not
    given back after it. At an engine that does not check fencing numbers the
    next order waits until that can't happen any more.
    """

    def __init__(
        self,
        *,
        table: TableService,
        target: TargetName,
        checks_fencing: bool,
        rng: random.Random,
    ) -> None:
        self.superseded = False
        self._table = table
        self._key = TableKey(f'orders/{target}')
        self._checks_fencing = checks_fencing
        self._token = f'{rng.getrandbits(TOKEN_BITS):016x}'
        self._fencing = FencingNumber(0)
        self._lapses_at = float('-inf')
        self._unanswered_until = float('-inf')

    @property
    def has_unanswered(self) -> bool:
        """Whether the engine may still follow an order without an answer."""
        return read_clock() < self._unanswered_until

    def note_unanswered(self) -> None:
        """Note that the engine did not answer an order."""
        # An engine that checks numbers ends this with the next order that it
        # follows.
        self._unanswered_until = (
            float('inf')
            if self._checks_fencing
            else read_clock() + LATE_ORDER_SECONDS
        )

    def note_followed(self) -> None:
        """Note that the engine followed an order, and so none before it."""
        self._unanswered_until = float('-inf')

    def is_held(self) -> bool:
        """Return whether an order may be sent now."""
        return (
            not self.superseded and read_clock_with_suspend() < self._lapses_at
        )

    async def acquire(self) -> LeaseOutcome:
        """Acquire the lease after the former holder's lease has expired."""
        if self.superseded:
            return LeaseRefused(detail='superseded', superseded=True)
        return await self._read_and_claim()

    async def release(self) -> None:
        """Release the lease so that the next holder need not wait."""
        if not self.is_held():
            return
        self._lapses_at = float('-inf')
        if self.has_unanswered:
            return
        answer = await self._table.read(self._key)
        if not isinstance(answer, RowRead) or answer.row is None:
            return
        row = _decode(answer.row)
        if row is not None and row.holder == self._token:
            await self._write(
                answer.row, msgspec.structs.replace(row, released=True)
            )

    def _is_taken_over(self, former: OrderLeaseRow | None) -> bool:
        if former is None or not self._fencing:
            return False
        # A lower number than the own one is that of an earlier holder, in a
        # table that came back from an older copy.
        is_later = former.fencing >= self._fencing
        return is_later and former.holder != self._token

    async def _claim(
        self, row: Row | None, former: OrderLeaseRow | None
    ) -> LeaseOutcome:
        known = 0 if former is None else former.fencing
        number = max(known, self._fencing) + 1
        claim = OrderLeaseRow(
            fencing=FencingNumber(number), holder=self._token, released=False
        )
        # The write may take effect at any time after this, so the lease must
        # count from here.
        began = read_clock_with_suspend()
        if not isinstance(await self._write(row, claim), Committed):
            answer = await self._table.read(self._key)
            if not isinstance(answer, RowRead) or _decode(answer.row) != claim:
                return LeaseRefused(detail=f'{self._key}: not claimed')
        self._fencing = claim.fencing
        if await self._wait_out(former):
            # The wait outlasts the lease that was just claimed; claim it again.
            return await self._read_and_claim()
        self._lapses_at = began + LEASE_SECONDS
        return LeaseHeld(fencing=claim.fencing)

    async def _wait_out(self, former: OrderLeaseRow | None) -> bool:
        """Wait until a former holder's lease and last order have expired.

        :return: whether there was a former holder, or an own order, to wait
            for.
        """
        if self._checks_fencing:
            return False
        if self.has_unanswered:
            await asyncio.sleep(self._unanswered_until - read_clock())
            return True
        if former is None or former.released or former.holder == self._token:
            return False
        await asyncio.sleep(
            LEASE_SECONDS + LONGEST_ORDER_SECONDS + LATE_ORDER_SECONDS
        )
        return True

    async def _read_and_claim(self) -> LeaseOutcome:
        """Claim the row unless another agent has taken over the target.

        Over a row that can't be read nothing is claimed: its holder may still
        send orders, and a lower number than its own would fence the claim off.
        """
        answer = await self._table.read(self._key)
        if not isinstance(answer, RowRead):
            return LeaseRefused(detail=answer.detail)
        former = _decode(answer.row)
        if former is None and answer.row is not None:
            return LeaseRefused(detail=f'{self._key}: unreadable row')
        if self._is_taken_over(former):
            self.superseded = True
            return LeaseRefused(detail='superseded', superseded=True)
        return await self._claim(answer.row, former)

    async def _write(
        self, row: Row | None, content: OrderLeaseRow
    ) -> CommitOutcome:
        return await replace_row(
            self._table, self._key, row, msgspec.json.encode(content)
        )


def _decode(row: Row | None) -> OrderLeaseRow | None:
    """Decode a row; none if there is none, or one that is logged as odd."""
    if row is None:
        return None
    try:
        return decode_json(row.content, OrderLeaseRow)
    except UnreadableError as error:
        LOGGER.warning(
            'unreadable row of a lease',
            extra={'row': row.key, 'detail': str(error)},
        )
        return None
