"""Log of the decisions on one request, in order."""

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
    """Decisions on one request so far, in order."""

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

        :param point: step of serving at which the decision was made.
        :param chosen: the option that was chosen.
        :param seen: facts on which the decision is based.
        :param turned_down: rejected options, each with the reason.
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
        """Return the decisions so far, in the form that ``explain`` shows."""
        return RequestRecord(
            request=self.request, decisions=tuple(self._decisions)
        )
