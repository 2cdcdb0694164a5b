"""Reports on targets that entry daemons of a fleet send each other."""

from collections.abc import Callable

from ragwortcourse.forwarding.crash_exchange import (
    build_crash_sender,
    note_reports,
)
from ragwortcourse.forwarding.crash_messages import CrashMessage, CrashReport
from ragwortcourse.forwarding.departure_exchange import (
    DepartureMessage,
    DepartureReport,
    build_departure_sender,
    note_departures,
)
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.limit_exchange import (
    LimitMessage,
    LimitReport,
    build_limit_sender,
    note_limits,
)
from ragwortcourse.forwarding.report_sender import ReportSender

ReportMessage = CrashMessage | LimitMessage | DepartureMessage


def build_report_senders(
    forwarder: Forwarder, send: Callable[[bytes, str], None]
) -> tuple[
    ReportSender[CrashReport],
    ReportSender[LimitReport],
    ReportSender[DepartureReport],
]:
    """Build the senders of all kinds of reports.

    :param send: sends a datagram to an address, ``ip:port``.
    """
    daemon = forwarder.settings.daemon
    return (
        build_crash_sender(
            guard=forwarder.safeguards.crash_guard,
            daemon=daemon,
            rng=forwarder.rng,
            send=send,
        ),
        build_limit_sender(
            limits=forwarder.safeguards.target_limits,
            daemon=daemon,
            rng=forwarder.rng,
            send=send,
        ),
        build_departure_sender(
            state=forwarder.state,
            daemon=daemon,
            rng=forwarder.rng,
            send=send,
        ),
    )


def note_report(forwarder: Forwarder, message: ReportMessage) -> None:
    """Merge the reports in a message of another daemon."""
    if isinstance(message, CrashMessage):
        note_reports(forwarder.safeguards.crash_guard, message)
    elif isinstance(message, LimitMessage):
        note_limits(forwarder.safeguards.target_limits, message)
    else:
        note_departures(forwarder.state, message)
