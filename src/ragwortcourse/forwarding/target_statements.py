"""What a target states about itself in its answers."""

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.answer_head import AnswerHead
from ragwortcourse.forwarding.fleet_updates import note_departure
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.target import Target
from ragwortcourse.forwarding.target_departures import Departure
from ragwortcourse.forwarding.version_log import warn_expired


def note_statements(
    forwarder: Forwarder,
    target: Target,
    head: AnswerHead,
    *,
    sent_at: float,
    expected_version: int | None = None,
) -> None:
    """Apply what the head of an answer states about its target.

    Answers that come from another incarnation, or from nobody known, state
    nothing.

    :param sent_at: monotonic seconds at which the request was sent.
    :param expected_version: version that the target had to hold.
    """
    load = forwarder.find_load(target)
    if expected_version is not None and head.refuses_version(target.name):
        load.stated_version.note_refusal(
            expected_version,
            held=head.version,
            sent_at=sent_at,
            now=read_clock(),
        )
    if not head.speaks_for_target:
        return
    warn_expired(forwarder, target, head)
    load.note_head(head, read_clock(), target=target, sent_at=sent_at)
    if head.load is not None:
        forwarder.balancing.paces.note_report(target, head.load, read_clock())
    if head.leaving:
        departure = Departure(target=target.name, born=target.born)
        note_departure(forwarder.state, departure)
    safeguards = forwarder.safeguards
    if head.rate_limit_readable:
        safeguards.target_limits.note_answer(target, head.rate_limit)
    if head.rest_seconds:
        safeguards.target_rests.note_answer(target, head.rest_seconds)
