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
# After this time, a withdrawal takes effect without the table service.
WITHDRAW_TIMEOUT_SECONDS: Final = 1.0
RETURN_TIMEOUT_SECONDS: Final = 5.0


async def apply_withdrawal(
    holder: ConfigurationHolder,
    store: ConfigurationStore,
    withdrawal: Withdrawal,
) -> Accepted | None:
    """Withdraw a failure domain or target.

    The withdrawal is committed as a generation if the table service answers
    in time. Otherwise the withdrawal is in force here as pending, spreads
    between daemons and is committed later.

    :return: the commit; none where the withdrawal is pending.
    """

    def draft(base: BaseGeneration) -> Draft:
        return Draft(
            configuration=add_withdrawals_to(base.configuration, (withdrawal,)),
            settled=(withdrawal.change,),
        )

    if holder.is_settled(withdrawal.change):
        return Accepted(generation=holder.generation, snapshot=None)
    try:
        async with asyncio.timeout(WITHDRAW_TIMEOUT_SECONDS):
            outcome = await commit_change(
                holder, store, withdrawal.change, draft
            )
    except TimeoutError:
        outcome = NotAccepted(detail='the table service is slow')
    if isinstance(outcome, Accepted):
        return outcome
    if holder.withdraw(withdrawal):
        LOGGER.warning(
            'withdrawal not committed by table service; in force as pending',
            extra={'part': withdrawal.name, 'outcome': repr(outcome)},
        )
    return None


async def apply_return(
    holder: ConfigurationHolder,
    store: ConfigurationStore,
    withdrawal: Withdrawal,
) -> ChangeOutcome:
    """Return a failure domain or target to service.

    A return requires the table service. The return ends every withdrawal of
    the failure domain or target that is known here. A withdrawal by another
    operator that is committed after this call began stands: the outcome is
    then a conflict.

    :param withdrawal: failure domain or target, with the id of the return.
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
        async with asyncio.timeout(RETURN_TIMEOUT_SECONDS):
            return await commit_change(holder, store, withdrawal.change, draft)
    except TimeoutError:
        return AcceptanceUnknown(detail='the table service is slow')


async def write_pending_withdrawals(
    holder: ConfigurationHolder, store: ConfigurationStore, change: ChangeId
) -> ChangeOutcome:
    """Commit all pending withdrawals as one generation."""

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
    """Return a copy of a configuration with withdrawals added."""
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
    configuration: Configuration, withdrawal: Withdrawal
) -> Configuration:
    """Return a copy of a configuration without one withdrawal."""
    domains = set(configuration.withdrawn_failure_domains)
    targets = set(configuration.withdrawn_targets)
    if withdrawal.scope is WithdrawalScope.FAILURE_DOMAIN:
        domains.discard(FailureDomainName(withdrawal.name))
    else:
        targets.discard(TargetName(withdrawal.name))
    return msgspec.structs.replace(
        configuration,
        withdrawn_failure_domains=tuple(sorted(domains)),
        withdrawn_targets=tuple(sorted(targets)),
    )


def merge_withdrawals(
    before: Configuration, after: Configuration
) -> Configuration:
    """Return a new configuration that keeps the withdrawals of the old one.

    A configuration file may be older than a withdrawal and not list it, so
    only a return ends a withdrawal. Withdrawals of failure domains that the
    new configuration does not have are dropped.
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


def is_listed(configuration: Configuration, withdrawal: Withdrawal) -> bool:
    """Tell whether a configuration lists a target or domain as withdrawn."""
    if withdrawal.scope is WithdrawalScope.FAILURE_DOMAIN:
        return withdrawal.name in configuration.withdrawn_failure_domains
    return withdrawal.name in configuration.withdrawn_targets


def _read_configuration(holder: ConfigurationHolder) -> Configuration:
    document = holder.document
    return document.configuration if document else Configuration()


def _select_pending(
    holder: ConfigurationHolder, withdrawal: Withdrawal
) -> tuple[Withdrawal, ...]:
    return tuple(
        pending
        for pending in holder.withdrawals
        if pending.scope is withdrawal.scope and pending.name == withdrawal.name
    )
