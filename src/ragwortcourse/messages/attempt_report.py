"""What an agent knows of one attempt, asked for after a lost connection."""

import enum

import msgspec

from ragwortcourse.identifiers import AttemptId, VersionName


class AttemptState(enum.StrEnum):
    """How far an attempt came at its agent.

    ``BARRED``: it never started and, by this very report, never will.
    ``REFUSED``: the gate turned it down.
    ``RUNNING``: the engine has it. ``COMPLETED``: its whole answer came.
    ``BROKEN``: the engine had it and its end was not seen.
    ``FORGOTTEN``: the record is too old to say.
    """

    BARRED = 'barred'
    REFUSED = 'refused'
    RUNNING = 'running'
    COMPLETED = 'completed'
    BROKEN = 'broken'
    FORGOTTEN = 'forgotten'


class AttemptReport(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``POST /attempts/{attempt}/bar``.

    :param attempt: the attempt asked about.
    :param state: how far it came; barred and refused prove it never ran.
    :param version: model version that ran it, where one did.
    :param status: HTTP status of the target's answer, where it has one.
    :param suspect: true where the target died while it ran the attempt.
    """

    attempt: AttemptId
    state: AttemptState
    version: VersionName | None = None
    status: int | None = None
    suspect: bool = False

    @property
    def proves_not_run(self) -> bool:
        """Tell whether the work can be tried elsewhere without harm."""
        return self.state in {AttemptState.BARRED, AttemptState.REFUSED}
