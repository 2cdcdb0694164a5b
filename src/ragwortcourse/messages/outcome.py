"""What became of a piece of work: not run, completed or unknown."""

import dataclasses
import enum

from ragwortcourse.identifiers import VersionName


class OutcomeKind(enum.StrEnum):
    """Tag of an outcome, as headers and error bodies carry it."""

    NOT_RUN = 'not_run'
    COMPLETED = 'completed'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """Proof that the work never reached an engine and never will.

    :param code: stable error code of the refusal.
    :param detail: one sentence for a person.
    :param retry_after: seconds after which coming back can help, if it can.
    """

    code: str
    detail: str
    retry_after: float | None = None
    kind: OutcomeKind = OutcomeKind.NOT_RUN


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Completed:
    """The whole answer was given.

    :param version: model version that made the answer; none for services.
    """

    version: VersionName | None = None
    kind: OutcomeKind = OutcomeKind.COMPLETED


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """The work may have run, and nobody reachable can say.

    :param code: stable error code.
    :param detail: one sentence for a person.
    """

    code: str
    detail: str
    kind: OutcomeKind = OutcomeKind.UNKNOWN


Outcome = NotRun | Completed | Unknown
