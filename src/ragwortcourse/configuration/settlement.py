"""Writing of withdrawals that came while the table service was away."""

import asyncio
import logging
import random
from typing import Final

from ragwortcourse.configuration.acceptance import Accepted
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.store import ConfigurationStore
from ragwortcourse.configuration.withdrawals import write_pending_withdrawals
from ragwortcourse.identifiers import ChangeId

LOGGER = logging.getLogger(__name__)

# Daemons that hold the same withdrawals spread their tries over this time.
SETTLE_SPREAD_SECONDS: Final = 2.0
CHANGE_ID_BITS: Final = 64


async def persist_withdrawals(
    *,
    holder: ConfigurationHolder,
    store: ConfigurationStore,
    rng: random.Random,
) -> None:
    """Write pending withdrawals to the table service, forever.

    Every daemon that holds one tries; the first write settles it for all.
    """
    while True:
        revision = holder.revision
        if not holder.withdrawals:
            await holder.wait_past(revision)
        await asyncio.sleep(rng.uniform(0, SETTLE_SPREAD_SECONDS))
        if not holder.withdrawals:
            continue
        change = ChangeId(f'settle-{rng.getrandbits(CHANGE_ID_BITS):016x}')
        outcome = await write_pending_withdrawals(holder, store, change)
        if isinstance(outcome, Accepted):
            LOGGER.info(
                'pending withdrawals are written to the table service',
                extra={'generation': outcome.generation},
            )
