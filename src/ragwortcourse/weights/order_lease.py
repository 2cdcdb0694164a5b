"""The right to order one target's engine about, with its fencing number."""

import asyncio
import dataclasses
import random
from typing import Final

import msgspec

from ragwortcourse.clock import read_clock
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

LEASE_SECONDS: Final = 30.0
# No order is waited for longer, nor may the engine act on it later.
LONGEST_ORDER_SECONDS: Final = 20.0
TOKEN_BITS: Final = 64


class OrderLeaseRow(msgspec.Struct, frozen=True, kw_only=True):
    """The row of one target.

    :param holder: token of the agent's incarnation that took it.
    :param released: true once the holder has stopped ordering.
    """

    fencing: FencingNumber
    holder: str
    released: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseHeld:
    """Orders may be given with this number until the lease lapses."""

    fencing: FencingNumber


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRefused:
    """No orders may be given.

    :param superseded: another agent has taken over this target for good.
    """

    detail: str
    superseded: bool = False


LeaseOutcome = LeaseHeld | LeaseRefused


class OrderLease:
    """Taken for a series of orders, given back after it.

    Nothing is renewed in between, so that a target at rest costs the table
    service no write.
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

    def is_held(self) -> bool:
        """Tell whether an order may be sent at this moment."""
        return not self.superseded and read_clock() < self._lapses_at

    async def acquire(self) -> LeaseOutcome:
        """Take the lease, after waiting out whoever had it before."""
        if self.superseded:
            return LeaseRefused(detail='superseded', superseded=True)
        return await self._read_and_claim()

    async def release(self) -> None:
        """Let the next holder begin without waiting."""
        if not self.is_held():
            return
        self._lapses_at = float('-inf')
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
        return former.holder != self._token

    async def _claim(
        self, row: Row | None, former: OrderLeaseRow | None
    ) -> LeaseOutcome:
        number = 1 if former is None else former.fencing + 1
        claim = OrderLeaseRow(
            fencing=FencingNumber(number), holder=self._token, released=False
        )
        # Counted from before the write, which may take effect at any moment.
        began = read_clock()
        if not isinstance(await self._write(row, claim), Committed):
            answer = await self._table.read(self._key)
            if not isinstance(answer, RowRead) or _decode(answer.row) != claim:
                return LeaseRefused(detail=f'{self._key}: not claimed')
        self._fencing = claim.fencing
        if await self._wait_out(former):
            # The own lease has lapsed in the wait.
            return await self._read_and_claim()
        self._lapses_at = began + LEASE_SECONDS
        return LeaseHeld(fencing=claim.fencing)

    async def _wait_out(self, former: OrderLeaseRow | None) -> bool:
        """Let an earlier holder's lease and last order pass.

        :return: true where there was one to wait for.
        """
        if former is None or former.released or self._checks_fencing:
            return False
        if former.holder == self._token:
            return False
        await asyncio.sleep(LEASE_SECONDS + LONGEST_ORDER_SECONDS)
        return True

    async def _read_and_claim(self) -> LeaseOutcome:
        """Claim the row, unless another agent has taken it over."""
        answer = await self._table.read(self._key)
        if not isinstance(answer, RowRead):
            return LeaseRefused(detail=answer.detail)
        former = _decode(answer.row)
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
    if row is None:
        return None
    return msgspec.json.decode(row.content, type=OrderLeaseRow)
