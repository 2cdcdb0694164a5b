"""Operators of a soak, who change the desired state and what goes with it."""

import asyncio
import random
import time

from fakes.soak_operation import Operation
from fakes.soak_plan import Fault
from fakes.soak_site import SoakSite
from fakes.soak_state import PLAIN

# Longer than a withdrawal takes to come into force.
WITHDRAWN_SECONDS = 8.0
DOMAIN = 'near-b'
# Of the targets that leave; the rows of others end.
LISTED_SHARE = 0.6


class SoakOperators:
    """Applies the changes that a schedule names."""

    def __init__(self, *, site: SoakSite, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self._withdrawals = 0
        self._leaving = asyncio.Lock()

    async def change(self, fault: Fault) -> None:
        """Apply one change, and take back what lasts for a time only."""
        site = self._site
        if fault.name == Operation.HISTORY_GONE:
            site.store.forget_history()
        elif fault.name == Operation.ORIGIN_DOWN:
            site.origin_down = True
            await asyncio.sleep(fault.seconds)
            site.origin_down = False
        elif fault.name == Operation.WITHDRAW:
            await self._withdraw(WITHDRAWN_SECONDS)
        elif fault.name == Operation.WITHDRAW_BRIEFLY:
            await self._withdraw(fault.seconds)
        elif fault.name == Operation.WEIGHTS:
            site.set_weights_version()
        elif fault.name == Operation.LEAVE:
            await self._leave(fault.seconds)
        else:
            await self._change_state(fault)

    def revoke(self) -> None:
        """Take a key away."""
        site = self._site
        key = site.state.revoke_key()
        site.put_state()
        if key is not None:
            site.records.revoked[key] = time.monotonic()

    async def _change_state(self, fault: Fault) -> None:
        site = self._site
        if fault.name == Operation.REVOKE:
            self.revoke()
        elif fault.name == Operation.DROP_ROUTE:
            site.state.drop_route()
            site.put_state()
            await asyncio.sleep(fault.seconds)
            site.state.restore_route()
            site.put_state()
        else:
            site.state.change(fault.name, self._rng)
            site.put_state()

    async def _leave(self, seconds: float) -> None:
        """Let a target leave, by its row or without it, and come back."""
        site = self._site
        async with self._leaving:
            name = self._rng.choice(site.list_targets(PLAIN)).name
            began_at = time.monotonic()
            site.set_leaving(name, is_listed=self._rng.random() < LISTED_SHARE)
            await asyncio.sleep(seconds)
            site.records.departures.append((name, began_at, time.monotonic()))
            site.come_back(name)

    async def _withdraw(self, seconds: float) -> None:
        began_at = time.monotonic()
        self._withdrawals += 1
        self._site.set_withdrawn(DOMAIN, is_withdrawn=True)
        await asyncio.sleep(seconds)
        self._site.records.withdrawn.append(
            (DOMAIN, began_at, time.monotonic())
        )
        self._withdrawals -= 1
        # A later withdrawal of the failure domain may still be in force.
        if not self._withdrawals:
            self._site.set_withdrawn(DOMAIN, is_withdrawn=False)
