"""Requests that were under way when the target died."""

import dataclasses
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import AttemptId

SUSPICION_SECONDS: Final = 600.0
MAX_SUSPECTS: Final = 64
MAX_DEATHS: Final = 16
SAME_DEATH_SECONDS: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InFlightAttempt:
    """Work that the target has now.

    :param instance: instance of the target that got it.
    :param suspect: true where a target died under it before.
    """

    attempt: AttemptId
    fingerprint: str
    instance: str | None
    suspect: bool


class CrashSuspects:
    """Accuses as few as can have done it, and forgets in time."""

    def __init__(self) -> None:
        self._under_way: dict[AttemptId, InFlightAttempt] = {}
        self._accused: set[AttemptId] = set()
        self._until: dict[str, float] = {}
        self._deaths: dict[str | None, float] = {}

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Everything under suspicion now."""
        now = read_clock()
        return tuple(
            fingerprint
            for fingerprint, until in self._until.items()
            if until > now
        )

    def begin(self, work: InFlightAttempt) -> None:
        """Note work that the target gets."""
        self._under_way[work.attempt] = work

    def end(self, attempt: AttemptId, *, clean: bool) -> None:
        """Note that work ended; a clean end acquits it."""
        work = self._under_way.pop(attempt, None)
        self._accused.discard(attempt)
        if clean and work is not None:
            self._until.pop(work.fingerprint, None)

    def accuse(self, instance: str | None) -> None:
        """Put under suspicion what an instance had when it died.

        Where it ran a suspect, nothing else is accused: the gate runs
        one suspect at a time. What is found broken later on was weighed
        with the rest when the death was noticed.
        """
        if not self._is_news(instance):
            return
        had = [
            work
            for work in self._under_way.values()
            if work.instance == instance
        ]
        suspects = [work for work in had if work.suspect]
        for work in suspects or had:
            self._accused.add(work.attempt)
            self._until.pop(work.fingerprint, None)
            self._until[work.fingerprint] = read_clock() + SUSPICION_SECONDS
        for fingerprint in tuple(self._until)[:-MAX_SUSPECTS]:
            self._until.pop(fingerprint)

    def is_accused(self, attempt: AttemptId) -> bool:
        """Tell whether the target died under an attempt under way."""
        return attempt in self._accused

    def _is_news(self, instance: str | None) -> bool:
        died_at = self._deaths.get(instance)
        now = read_clock()
        # Targets that do not name their instance can die again.
        if died_at is not None and (
            instance or now - died_at < SAME_DEATH_SECONDS
        ):
            return False
        self._deaths[instance] = now
        for old in tuple(self._deaths)[:-MAX_DEATHS]:
            self._deaths.pop(old)
        return True
