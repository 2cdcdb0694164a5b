"""Registry of requests that crash targets.

A request is identified by its fingerprint: the digest of client account,
method, path and body.
"""

import dataclasses
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.crashes.evidence_store import (
    SUSPICION_SECONDS,
    EvidenceStore,
)
from ragwortcourse.crashes.verdict import Verdict, judge_suspect
from ragwortcourse.identifiers import ClientAccountName, TargetName
from ragwortcourse.messages.operator import Crasher, CrasherList

CRASHES_TO_REFUSE: Final = 2
EVIDENCE_LIMIT: Final = 256


@dataclasses.dataclass(slots=True, kw_only=True)
class CrashRecord:
    """Targets that crashed while they ran one request.

    Both sets only grow, so that daemons can merge them in any order.

    :param newest_crash_at: monotonic seconds of the newest crash.
    :param targets: all targets that crashed.
    :param released: targets whose crash an operator's release excluded.
    """

    account: ClientAccountName
    newest_crash_at: float
    targets: set[TargetName] = dataclasses.field(default_factory=set)
    released: set[TargetName] = dataclasses.field(default_factory=set)

    @property
    def unreleased_targets(self) -> set[TargetName]:
        """Return the targets whose crashes still count."""
        return self.targets - self.released

    @property
    def meets_refusal_threshold(self) -> bool:
        """Tell whether enough targets crashed to refuse the request."""
        return self.verdict is Verdict.REFUSED

    @property
    def verdict(self) -> Verdict:
        """Return the verdict on the request."""
        crashes = len(self.unreleased_targets)
        return judge_suspect(
            proven=crashes, suspected=crashes, refused_from=CRASHES_TO_REFUSE
        )


class CrasherRegistry:
    """Bounded store of crash evidence by request fingerprint.

    Above ``EVIDENCE_LIMIT`` requests the oldest is evicted. Evidence below
    the refusal threshold is dropped once its request gets a complete answer.
    """

    def __init__(self) -> None:
        self._evidence = EvidenceStore[str, CrashRecord](
            limit=EVIDENCE_LIMIT, is_kept=lambda _: False
        )

    def record_crashes(
        self,
        fingerprint: str,
        account: ClientAccountName,
        *targets: TargetName,
    ) -> None:
        """Record targets that crashed while they ran a request."""
        evidence = self._find(fingerprint, account)
        if not evidence.targets.issuperset(targets):
            evidence.newest_crash_at = read_clock()
        evidence.targets.update(targets)

    def release_from(
        self,
        fingerprint: str,
        account: ClientAccountName,
        targets: set[TargetName],
    ) -> None:
        """Apply an operator's release that was made at another daemon."""
        evidence = self._find(fingerprint, account)
        evidence.targets |= targets
        evidence.released |= targets

    def forget_suspicion(self, fingerprint: str) -> bool:
        """Forget a suspicion after the request got a complete answer.

        :return: true if there was a suspicion.
        """
        evidence = self._evidence.find(fingerprint)
        if evidence is None or evidence.meets_refusal_threshold:
            return False
        self._evidence.remove(fingerprint)
        return bool(evidence.unreleased_targets)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether the request crashed a target recently.

        Recent means within ``SUSPICION_SECONDS``.
        """
        evidence = self._evidence.find(fingerprint)
        if evidence is None or evidence.verdict is Verdict.ALLOWED:
            return False
        return read_clock() - evidence.newest_crash_at <= SUSPICION_SECONDS

    def is_refused(self, fingerprint: str) -> bool:
        """Tell whether the request crashed enough targets to be refused."""
        evidence = self._evidence.find(fingerprint)
        return evidence is not None and evidence.meets_refusal_threshold

    def find(self, fingerprint: str) -> CrashRecord | None:
        """Return the evidence against a request; none if there is none."""
        return self._evidence.find(fingerprint)

    def list_crashers(self) -> CrasherList:
        """List all refused requests, for operators."""
        return CrasherList(
            crashers=tuple(
                Crasher(
                    fingerprint=fingerprint,
                    account=evidence.account,
                    targets=tuple(sorted(evidence.unreleased_targets)),
                )
                for fingerprint, evidence in self._evidence.list_items()
                if evidence.meets_refusal_threshold
            )
        )

    def release(self, fingerprint: str) -> bool:
        """Allow a refused request again; false if it was not refused."""
        evidence = self._evidence.find(fingerprint)
        if evidence is None or not evidence.meets_refusal_threshold:
            return False
        evidence.released |= evidence.targets
        return True

    def list_shareable(self) -> dict[str, CrashRecord]:
        """Return evidence for other daemons: refused or released requests."""
        return {
            fingerprint: evidence
            for fingerprint, evidence in self._evidence.list_items()
            if evidence.meets_refusal_threshold or evidence.released
        }

    def _find(
        self, fingerprint: str, account: ClientAccountName
    ) -> CrashRecord:
        evidence = self._evidence.find(fingerprint)
        if evidence is None:
            evidence = CrashRecord(
                account=account, newest_crash_at=read_clock()
            )
            self._evidence.add(fingerprint, evidence)
        return evidence
