"""Reports that bind the entry daemons of a fleet in sum."""

from collections.abc import Callable

from ragwortcourse.forwarding.crash_exchange import (
    build_crash_sender,
    note_reports,
)
from ragwortcourse.forwarding.crash_messages import CrashMessage, CrashReport
from ragwortcourse.forwarding.forwarder import Forwarder
from ragwortcourse.forwarding.limit_exchange import (
    LimitMessage,
    LimitReport,
    build_limit_sender,
    note_limits,
)
from ragwortcourse.forwarding.report_sender import ReportSender
from ragwortcourse.forwarding.safeguards import Safeguards

ReportMessage = CrashMessage | LimitMessage


def build_report_senders(
    forwarder: Forwarder, send: Callable[[bytes, str], None]
) -> tuple[ReportSender[CrashReport], ReportSender[LimitReport]]:
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
    )


def note_report(safeguards: Safeguards, message: ReportMessage) -> None:
    """Merge the reports in a message of another daemon."""
    if isinstance(message, CrashMessage):
        note_reports(safeguards.crash_guard, message)
    else:
        note_limits(safeguards.target_limits, message)
