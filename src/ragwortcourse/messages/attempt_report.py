"""Agent's report on one attempt, requested after a lost connection."""

import enum

import msgspec

from ragwortcourse.identifiers import AttemptId, VersionName


class AttemptState(enum.StrEnum):
    """State of an attempt at its agent.

    ``BARRED``: the attempt has not started; making this report prevents it
    from ever starting.
    ``REFUSED``: the gate refused the attempt.
    ``RUNNING``: the engine runs the attempt.
    ``COMPLETED``: the engine returned a complete answer.
    ``BROKEN``: the engine started the attempt; its end was not observed.
    ``FORGOTTEN``: the agent may have dropped its record of the attempt.
    """

    BARRED = 'barred'
    REFUSED = 'refused'
    RUNNING = 'running'
    COMPLETED = 'completed'
    BROKEN = 'broken'
    FORGOTTEN = 'forgotten'


class AttemptReport(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of ``POST /attempts/{attempt}/bar``.

    :param attempt: reported attempt.
    :param state: barred and refused prove that the attempt never ran.
    :param version: model version that ran the attempt, if any.
    :param status: HTTP status of the target's answer, if any.
    :param suspect: true if the target crashed while it ran the attempt.
    """

    attempt: AttemptId
    state: AttemptState
    version: VersionName | None = None
    status: int | None = None
    suspect: bool = False

    @property
    def proves_not_run(self) -> bool:
        """Tell whether the work can safely be sent to another target."""
        return self.state in {AttemptState.BARRED, AttemptState.REFUSED}
