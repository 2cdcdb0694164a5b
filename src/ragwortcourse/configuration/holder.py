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
    """Newest generation known to this process, and pending withdrawals.

    The generation never decreases.

    :param with_accounts: false on daemons that hold no client accounts.
    :ivar generations_in_fetch: generations that are being fetched from a peer.
    :ivar table_reachable: false after a failed poll of the platform, until a
        poll succeeds.
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
        """Document in force; none before the first one."""
        return self._document

    @property
    def generation(self) -> Generation:
        """Generation in force, zero before the first one."""
        if self._document is None:
            return Generation(0)
        return self._document.generation

    @property
    def snapshot(self) -> ConfigurationSnapshot | None:
        """Index and parts of the document in force, as served to peers."""
        if self._snapshot is None and self._document is not None:
            self._snapshot = build_snapshot(self._document)
        return self._snapshot

    @property
    def revision(self) -> int:
        """Number of documents and withdrawals put in force so far."""
        return self._revision

    @property
    def withdrawals(self) -> tuple[Withdrawal, ...]:
        """Pending withdrawals: in force, but not settled by a generation."""
        return tuple(self._withdrawals.values())

    def update_if_newer(
        self,
        document: ConfigurationDocument,
        snapshot: ConfigurationSnapshot | None = None,
    ) -> bool:
        """Put a document in force if its generation is newer.

        :param snapshot: snapshot of the document; none only for a document
            with its client accounts, as the snapshot is then built from it.
        :return: true if the document is now in force.
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
        """Put a withdrawal in force as pending.

        :return: false if the withdrawal is already pending or settled.
        """
        if self.is_settled(withdrawal.change):
            return False
        if withdrawal.change in self._withdrawals:
            return False
        self._withdrawals[withdrawal.change] = withdrawal
        self._announce()
        return True

    def is_settled(self, change: ChangeId) -> bool:
        """Tell whether the document in force lists a change as settled."""
        if self._document is None:
            return False
        return change in self._document.settled_changes

    def is_withdrawn(
        self, target: TargetName, failure_domain: FailureDomainName
    ) -> bool:
        """Tell whether operators withdrew the target or its failure domain."""
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
        """Wait until the next document or withdrawal is in force."""
        await self._changed.wait()

    async def wait_past(self, revision: int) -> None:
        """Wait until :attr:`revision` is greater than a given revision.

        Unlike :meth:`wait_for_change`, this method also notices changes
        between two calls.
        """
        while self._revision <= revision:
            await self._changed.wait()

    def _announce(self) -> None:
        self._revision += 1
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()
