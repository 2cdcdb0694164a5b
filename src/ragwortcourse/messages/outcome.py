"""Outcomes of work: not run, completed or unknown."""

import dataclasses
import enum

from ragwortcourse.identifiers import VersionName


class OutcomeKind(enum.StrEnum):
    """Tag of an outcome in headers and error bodies."""

    NOT_RUN = 'not_run'
    COMPLETED = 'completed'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """Proof that the work never reached an engine and never will.

    :param code: stable error code of the refusal.
    :param detail: one sentence for people.
    :param retry_after: seconds to wait; none if a retry is not expected to
        help.
    """

    code: str
    detail: str
    retry_after: float | None = None
    kind: OutcomeKind = OutcomeKind.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Completed:
    """Outcome of work with a complete answer.

    :param version: model version that produced the answer; none for
        services.
    """

    version: VersionName | None = None
    kind: OutcomeKind = OutcomeKind.COMPLETED


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """Outcome of work that may have run; no reachable daemon can tell.

    :param code: stable error code.
    :param detail: one sentence for people.
    """

    code: str
    detail: str
    kind: OutcomeKind = OutcomeKind.UNKNOWN


Outcome = NotRun | Completed | Unknown
