"""Commit of withdrawals made while the table service did not answer."""

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

# Random delay before a commit, as many daemons hold the same withdrawals.
SETTLE_SPREAD_SECONDS: Final = 2.0
CHANGE_ID_BITS: Final = 64


async def persist_withdrawals(
    *,
    holder: ConfigurationHolder,
    store: ConfigurationStore,
    rng: random.Random,
) -> None:
    """Commit pending withdrawals as a new generation, forever.

    Every daemon with a pending withdrawal tries to commit it. The first
    commit settles the withdrawal for all daemons.

    :param rng: source of the delays and of change ids.
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
