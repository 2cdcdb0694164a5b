"""The configuration in force in this process."""

import asyncio

from ragwortcourse.configuration.configuration import ConfigurationDocument
from ragwortcourse.configuration.snapshot import (
    ConfigurationSnapshot,
    build_snapshot,
)
from ragwortcourse.identifiers import (
    ChangeId,
    FailureDomainName,
    Generation,
    TargetName,
)
from ragwortcourse.messages.withdrawal import Withdrawal, WithdrawalScope


class ConfigurationHolder:
    """Holds the newest generation seen; never goes back to a lower one.

    :param with_accounts: false where client accounts are left out.
    :ivar generations_in_fetch: generations that are being fetched from a peer.
    :ivar table_reachable: false while the platform does not answer polls.
    """

    def __init__(self, *, with_accounts: bool = True) -> None:
        self.with_accounts = with_accounts
        self._document: ConfigurationDocument | None = None
        self._snapshot: ConfigurationSnapshot | None = None
        self._withdrawals: dict[ChangeId, Withdrawal] = {}
        self.generations_in_fetch: set[Generation] = set()
        self._changed = asyncio.Event()
        self._revision = 0
        self.table_reachable = True

    @property
    def document(self) -> ConfigurationDocument | None:
        """The document in force; none before the first one is learnt."""
        return self._document

    @property
    def generation(self) -> Generation:
        """Generation in force, zero before the first one."""
        if self._document is None:
            return Generation(0)
        return self._document.generation

    @property
    def snapshot(self) -> ConfigurationSnapshot | None:
        """Index and parts of the document in force, for others to take."""
        if self._snapshot is None and self._document is not None:
            self._snapshot = build_snapshot(self._document)
        return self._snapshot

    @property
    def revision(self) -> int:
        """Count of the documents and withdrawals put in force so far."""
        return self._revision

    @property
    def withdrawals(self) -> tuple[Withdrawal, ...]:
        """Withdrawals that no generation in force has settled yet."""
        return tuple(self._withdrawals.values())

    def update_if_newer(
        self,
        document: ConfigurationDocument,
        snapshot: ConfigurationSnapshot | None = None,
    ) -> bool:
        """Put a newer document in force; say whether it was newer.

        :param snapshot: what the document came from; none where the
            document is whole, so that its snapshot can be made from it.
        """
        if document.generation <= self.generation:
            return False
        self._document = document
        self._snapshot = snapshot
        for change in document.settled_changes:
            self._withdrawals.pop(change, None)
        self._announce()
        return True

    def withdraw(self, withdrawal: Withdrawal) -> bool:
        """Put a withdrawal in force; say whether it was news."""
        if self.is_settled(withdrawal.change):
            return False
        if withdrawal.change in self._withdrawals:
            return False
        self._withdrawals[withdrawal.change] = withdrawal
        self._announce()
        return True

    def is_settled(self, change: ChangeId) -> bool:
        """Tell whether the generation in force took over a withdrawal."""
        if self._document is None:
            return False
        return change in self._document.settled_changes

    def is_withdrawn(
        self, target: TargetName, failure_domain: FailureDomainName
    ) -> bool:
        """Tell whether the target takes no new work by operators' word."""
        if self._document is not None:
            configuration = self._document.configuration
            if failure_domain in configuration.withdrawn_failure_domains:
                return True
            if target in configuration.withdrawn_targets:
                return True
        names = {
            (WithdrawalScope.FAILURE_DOMAIN, str(failure_domain)),
            (WithdrawalScope.TARGET, str(target)),
        }
        return any(
            (withdrawal.scope, withdrawal.name) in names
            for withdrawal in self._withdrawals.values()
        )

    async def wait_for_change(self) -> None:
        """Return after the next document or withdrawal is in force."""
        await self._changed.wait()

    async def wait_past(self, revision: int) -> None:
        """Return once something newer than a revision is in force.

        Unlike :meth:`wait_for_change` it misses nothing that came between
        two calls.
        """
        while self._revision <= revision:
            await self._changed.wait()

    def _announce(self) -> None:
        self._revision += 1
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
