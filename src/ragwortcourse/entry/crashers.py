"""Requests that take targets down, known again by their fingerprint."""

import collections
import dataclasses
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import ClientAccountName, TargetName
from ragwortcourse.messages.operator import Crasher, CrasherList

CRASHES_TO_REFUSE: Final = 2
SUSPICION_SECONDS: Final = 600.0
EVIDENCE_LIMIT: Final = 256


@dataclasses.dataclass(slots=True, kw_only=True)
class CrashRecord:
    """Targets that died under one request.

    :param released: those that an operator has let pass; both sets only
        grow, so that daemons can merge them in any order.
    :param at: monotonic seconds of the newest death.
    """

    account: ClientAccountName
    at: float
    targets: set[TargetName] = dataclasses.field(default_factory=set)
    released: set[TargetName] = dataclasses.field(default_factory=set)

    @property
    def unreleased_targets(self) -> set[TargetName]:
        """Deaths that still count."""
        return self.targets - self.released

    @property
    def meets_refusal_threshold(self) -> bool:
        """Tell whether enough targets died."""
        return len(self.unreleased_targets) >= CRASHES_TO_REFUSE


class CrasherRegistry:
    """Evidence against requests; bounded, and forgotten unless proved."""

    def __init__(self) -> None:
        self._evidence: collections.OrderedDict[str, CrashRecord] = (
            collections.OrderedDict()
        )

    def record_crashes(
        self,
        fingerprint: str,
        account: ClientAccountName,
        *targets: TargetName,
    ) -> None:
        """Note targets that died while they ran a request."""
        evidence = self._find(fingerprint, account)
        if not evidence.targets.issuperset(targets):
            evidence.at = read_clock()
        evidence.targets.update(targets)

    def release_from(
        self,
        fingerprint: str,
        account: ClientAccountName,
        targets: set[TargetName],
    ) -> None:
        """Let deaths pass, as an operator has said elsewhere."""
        evidence = self._find(fingerprint, account)
        evidence.targets |= targets
        evidence.released |= targets

    def forget_suspicion(self, fingerprint: str) -> bool:
        """Forget a suspicion after the request was answered whole.

        :return: true where there was one.
        """
        evidence = self._evidence.get(fingerprint)
        if evidence is None or evidence.meets_refusal_threshold:
            return False
        self._evidence.pop(fingerprint)
        return bool(evidence.unreleased_targets)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a target died under the request not long ago."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None or not evidence.unreleased_targets:
            return False
        return read_clock() - evidence.at <= SUSPICION_SECONDS

    def is_refused(self, fingerprint: str) -> bool:
        """Tell whether the request has taken down too many targets."""
        evidence = self._evidence.get(fingerprint)
        return evidence is not None and evidence.meets_refusal_threshold

    def find(self, fingerprint: str) -> CrashRecord | None:
        """Evidence against a request; none where no target died under it."""
        return self._evidence.get(fingerprint)

    def list_crashers(self) -> CrasherList:
        """Every request that is refused, for operators."""
        return CrasherList(
            crashers=tuple(
                Crasher(
                    fingerprint=fingerprint,
                    account=evidence.account,
                    targets=tuple(sorted(evidence.unreleased_targets)),
                )
                for fingerprint, evidence in self._evidence.items()
                if evidence.meets_refusal_threshold
            )
        )

    def release(self, fingerprint: str) -> bool:
        """Let a request run again; false where it was not refused."""
        if not self.is_refused(fingerprint):
            return False
        evidence = self._evidence[fingerprint]
        evidence.released |= evidence.targets
        return True

    def list_settled(self) -> dict[str, CrashRecord]:
        """Evidence that other daemons should know: proved or released."""
        return {
            fingerprint: evidence
            for fingerprint, evidence in self._evidence.items()
            if evidence.meets_refusal_threshold or evidence.released
        }

    def _find(
        self, fingerprint: str, account: ClientAccountName
    ) -> CrashRecord:
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            evidence = CrashRecord(account=account, at=read_clock())
            self._evidence[fingerprint] = evidence
            if len(self._evidence) > EVIDENCE_LIMIT:
                self._evidence.popitem(last=False)
        return evidence
