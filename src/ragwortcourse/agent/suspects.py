"""Tracks requests that were in flight when the target crashed."""

import dataclasses
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.crashes.evidence_store import SUSPICION_SECONDS
from ragwortcourse.identifiers import AttemptId

MAX_SUSPECTS: Final = 64
MAX_CRASHES: Final = 16
SAME_CRASH_SECONDS: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InFlightAttempt:
    """One attempt that the target is running.

    :param instance: engine instance that runs the attempt; none if unknown.
    :param suspect: true if a target crashed earlier while it ran this
        request.
    """

    attempt: AttemptId
    fingerprint: str
    instance: str | None
    suspect: bool


class CrashSuspects:
    """Keeps the smallest set of requests that may have crashed the target.

    A request stays suspect for ``SUSPICION_SECONDS`` after a crash.
    """

    def __init__(self) -> None:
        self._in_flight: dict[AttemptId, InFlightAttempt] = {}
        self._unsettled: dict[AttemptId, InFlightAttempt] | None = None
        self._crash_suspects: set[AttemptId] = set()
        self._suspect_until: dict[str, float] = {}
        self._crashes: dict[str | None, float] = {}

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Fingerprints of the requests that are suspect now."""
        now = read_clock()
        return tuple(
            fingerprint
            for fingerprint, suspect_until in self._suspect_until.items()
            if suspect_until > now
        )

    def begin(self, work: InFlightAttempt) -> None:
        """Record work that is sent to the target."""
        self._in_flight[work.attempt] = work

    def end(self, attempt: AttemptId, *, clean: bool) -> None:
        """Record the end of work; a clean end clears its suspicion."""
        work = self._in_flight.pop(attempt, None)
        self._crash_suspects.discard(attempt)
        if clean and work is not None:
            self._suspect_until.pop(work.fingerprint, None)
            if self._unsettled is not None:
                self._unsettled.pop(attempt, None)

    def begin_check(self, instance: str | None) -> bool:
        """Keep the requests in flight until it is known if the target crashed.

        :return: false if a check is already in progress.
        """
        if self._unsettled is not None:
            return False
        self._unsettled = {
            work.attempt: work for work in self._list_in_flight(instance)
        }
        return True

    def end_check(self, instance: str | None, *, crashed: bool) -> None:
        """Mark the requests kept since ``begin_check`` after a crash."""
        unsettled = self._unsettled or {}
        self._unsettled = None
        if crashed:
            self._mark(instance, list(unsettled.values()))

    def mark_crash_suspects(self, instance: str | None) -> None:
        """Mark the requests an instance was running when it crashed as suspect.

        If the instance ran a suspect, only the suspect is marked: the gate
        runs one suspect at a time. Further reports of the same crash are
        ignored, because all requests in flight were considered at the
        first report.
        """
        self._mark(instance, self._list_in_flight(instance))

    def is_crash_suspect(self, attempt: AttemptId) -> bool:
        """Tell whether an unfinished attempt is suspected of a crash."""
        return attempt in self._crash_suspects

    def _list_in_flight(self, instance: str | None) -> list[InFlightAttempt]:
        return [
            work
            for work in self._in_flight.values()
            if work.instance == instance
        ]

    def _mark(
        self, instance: str | None, in_flight: list[InFlightAttempt]
    ) -> None:
        if not self._is_new_crash(instance):
            return
        suspects = [work for work in in_flight if work.suspect]
        for work in suspects or in_flight:
            if work.attempt in self._in_flight:
                self._crash_suspects.add(work.attempt)
            self._suspect_until.pop(work.fingerprint, None)
            self._suspect_until[work.fingerprint] = (
                read_clock() + SUSPICION_SECONDS
            )
        for fingerprint in tuple(self._suspect_until)[:-MAX_SUSPECTS]:
            self._suspect_until.pop(fingerprint)

    def _is_new_crash(self, instance: str | None) -> bool:
        crashed_at = self._crashes.get(instance)
        now = read_clock()
        # A target that does not name its instance can crash again, so its
        # crashes are distinguished by time only.
        if crashed_at is not None and (
            instance or now - crashed_at < SAME_CRASH_SECONDS
        ):
            return False
        self._crashes[instance] = now
        for old in tuple(self._crashes)[:-MAX_CRASHES]:
            self._crashes.pop(old)
        return True
