"""Decisions on one request, in the order in which they were taken."""

from collections.abc import Mapping

from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import RequestId
from ragwortcourse.messages.decision import (
    Decision,
    DecisionPoint,
    RequestRecord,
)

_MILLISECONDS = 1000


class DecisionLog:
    """What was decided on one request so far."""

    def __init__(self, *, request: RequestId) -> None:
        self.request = request
        self._started = read_clock()
        self._decisions: list[Decision] = []

    def note(
        self,
        point: DecisionPoint,
        chosen: str,
        *,
        seen: Mapping[str, object] | None = None,
        turned_down: Mapping[str, str] | None = None,
    ) -> None:
        """Add one decision.

        :param seen: what it was decided from.
        :param turned_down: the other ways, each with its reason.
        """
        decision = Decision(
            point=point,
            at_ms=round((read_clock() - self._started) * _MILLISECONDS, 3),
            chosen=chosen,
            seen={name: str(fact) for name, fact in (seen or {}).items()},
            turned_down=dict(turned_down or {}),
        )
        self._decisions.append(decision)

    def to_record(self) -> RequestRecord:
        """Everything decided so far, as ``explain`` shows it."""
        return RequestRecord(
            request=self.request, decisions=tuple(self._decisions)
        )
