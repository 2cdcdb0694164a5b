"""Withdrawal and return of a failure domain or a target."""

import asyncio
import logging
from typing import Final

import msgspec

from ragwortcourse.configuration.acceptance import (
    AcceptanceUnknown,
    Accepted,
    NotAccepted,
)
from ragwortcourse.configuration.change import (
    BaseGeneration,
    ChangeOutcome,
    Draft,
    commit_change,
)
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.store import ConfigurationStore
from ragwortcourse.identifiers import (
    ChangeId,
    FailureDomainName,
    TargetName,
)
from ragwortcourse.messages.withdrawal import Withdrawal, WithdrawalScope

LOGGER = logging.getLogger(__name__)
# How long a withdrawal waits for the table service before it goes without.
WITHDRAW_WAIT_SECONDS: Final = 1.0
RETURN_WAIT_SECONDS: Final = 5.0


async def apply_withdrawal(
    holder: ConfigurationHolder,
    store: ConfigurationStore,
    withdrawal: Withdrawal,
) -> Accepted | None:
    """Take a part out, through the table service where it answers in time.

    :return: the generation with it; none where it is in force only between
        the daemons and is still to be written.
    """

    def draft(base: BaseGeneration) -> Draft:
        return Draft(
            configuration=add_withdrawals_to(base.configuration, (withdrawal,)),
            settled=(withdrawal.change,),
        )

    if holder.is_settled(withdrawal.change):
        return Accepted(generation=holder.generation, snapshot=None)
    try:
        async with asyncio.timeout(WITHDRAW_WAIT_SECONDS):
            outcome = await commit_change(
                holder, store, withdrawal.change, draft
            )
    except TimeoutError:
        outcome = NotAccepted(detail='the table service is slow')
    if isinstance(outcome, Accepted):
        return outcome
    if holder.withdraw(withdrawal):
        LOGGER.warning(
            'withdrawal in force without the table service',
            extra={'part': withdrawal.name, 'outcome': repr(outcome)},
        )
    return None


async def apply_return(
    holder: ConfigurationHolder,
    store: ConfigurationStore,
    withdrawal: Withdrawal,
) -> ChangeOutcome:
    """Let a part take work again; needs the table service.

    Ends every withdrawal of the part that is known here. Where another
    operator withdrew it in the meantime, the withdrawal stands.

    :param withdrawal: the part, and the id of the return.
    """
    before = is_listed(_read_configuration(holder), withdrawal)

    def draft(base: BaseGeneration) -> Draft | None:
        if is_listed(base.configuration, withdrawal) and not before:
            return None
        ended = _select_pending(holder, withdrawal)
        return Draft(
            configuration=remove_withdrawal_from(
                base.configuration, withdrawal
            ),
            settled=tuple(pending.change for pending in ended),
        )

    try:
        async with asyncio.timeout(RETURN_WAIT_SECONDS):
            return await commit_change(holder, store, withdrawal.change, draft)
    except TimeoutError:
        return AcceptanceUnknown(detail='the table service is slow')


async def write_pending_withdrawals(
    holder: ConfigurationHolder, store: ConfigurationStore, change: ChangeId
) -> ChangeOutcome:
    """Write every pending withdrawal into one generation."""

    def draft(base: BaseGeneration) -> Draft | None:
        pending = holder.withdrawals
        if not pending:
            return None
        return Draft(
            configuration=add_withdrawals_to(base.configuration, pending),
            settled=tuple(withdrawal.change for withdrawal in pending),
        )

    return await commit_change(holder, store, change, draft)


def add_withdrawals_to(
    configuration: Configuration, withdrawals: tuple[Withdrawal, ...]
) -> Configuration:
    """A configuration in which these parts are withdrawn as well."""
    domains = set(configuration.withdrawn_failure_domains)
    targets = set(configuration.withdrawn_targets)
    for withdrawal in withdrawals:
        if withdrawal.scope is WithdrawalScope.FAILURE_DOMAIN:
            domains.add(FailureDomainName(withdrawal.name))
        else:
            targets.add(TargetName(withdrawal.name))
    return msgspec.structs.replace(
        configuration,
        withdrawn_failure_domains=tuple(sorted(domains)),
        withdrawn_targets=tuple(sorted(targets)),
    )


def remove_withdrawal_from(
    configuration: Configuration, part: Withdrawal
) -> Configuration:
    """A configuration in which a part is not withdrawn."""
    domains = set(configuration.withdrawn_failure_domains)
    targets = set(configuration.withdrawn_targets)
    if part.scope is WithdrawalScope.FAILURE_DOMAIN:
        domains.discard(FailureDomainName(part.name))
    else:
        targets.discard(TargetName(part.name))
    return msgspec.structs.replace(
        configuration,
        withdrawn_failure_domains=tuple(sorted(domains)),
        withdrawn_targets=tuple(sorted(targets)),
    )


def merge_withdrawals(
    before: Configuration, after: Configuration
) -> Configuration:
    """A new configuration in which nothing withdrawn before has returned.

    A file that was written before the withdrawal says nothing about it;
    only a return ends one.
    """
    known = {domain.name for domain in after.failure_domains}
    domains = known.intersection(before.withdrawn_failure_domains)
    domains.update(after.withdrawn_failure_domains)
    targets = {*before.withdrawn_targets, *after.withdrawn_targets}
    return msgspec.structs.replace(
        after,
        withdrawn_failure_domains=tuple(sorted(domains)),
        withdrawn_targets=tuple(sorted(targets)),
    )


def is_listed(configuration: Configuration, part: Withdrawal) -> bool:
    """Tell whether a configuration lists a part as withdrawn."""
    if part.scope is WithdrawalScope.FAILURE_DOMAIN:
        return part.name in configuration.withdrawn_failure_domains
    return part.name in configuration.withdrawn_targets


def _read_configuration(holder: ConfigurationHolder) -> Configuration:
    document = holder.document
    return document.configuration if document else Configuration()


def _select_pending(
    holder: ConfigurationHolder, part: Withdrawal
) -> tuple[Withdrawal, ...]:
    return tuple(
        pending
        for pending in holder.withdrawals
        if pending.scope is part.scope and pending.name == part.name
    )
