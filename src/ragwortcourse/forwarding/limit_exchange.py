"""Exchange of limits that targets name, between entry daemons."""

import random
from collections.abc import Callable

import msgspec

from ragwortcourse.bounded import Age, Rate, WholeNumber
from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.named_limit import NamedLimit
from ragwortcourse.forwarding.report_sender import ReportSender, draw_reports
from ragwortcourse.forwarding.target_limits import TargetLimits
from ragwortcourse.identifiers import DaemonId, TargetName


class LimitReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Limit of a target.

    :param rate: requests a second; none if it ended.
    :param age: seconds since the answer that named it.
    """

    target: TargetName
    born: WholeNumber
    rate: Rate | None
    age: Age


class LimitMessage(msgspec.Struct, frozen=True, kw_only=True, tag='limit'):
    """Limits that one daemon knows."""

    daemon: DaemonId
    reports: list[LimitReport]


def build_limit_sender(
    *,
    limits: TargetLimits,
    daemon: DaemonId,
    rng: random.Random,
    send: Callable[[bytes, str], None],
) -> ReportSender[LimitReport]:
    """Build the sender of the limits that one daemon knows.

    :param send: sends a datagram to an address, ``ip:port``.
    """

    def encode(reports: list[LimitReport]) -> bytes:
        return msgspec.json.encode(LimitMessage(daemon=daemon, reports=reports))

    def list_news(since: float, _: int) -> list[LimitReport]:
        return _write_reports(limits.list_since(since), rng)

    def list_standing() -> list[LimitReport]:
        limits.drop_gone()
        return _write_reports(limits.list_all(), rng)

    return ReportSender(
        list_news=list_news,
        list_standing=list_standing,
        encode=encode,
        send=send,
        rng=rng,
    )


def note_limits(limits: TargetLimits, message: LimitMessage) -> None:
    """Merge the limits that another daemon knows."""
    now = read_clock_with_suspend()
    for report in message.reports:
        limits.merge(
            NamedLimit(
                target=report.target,
                born=report.born,
                rate=report.rate,
                named_at=now - report.age,
            )
        )


def _write_reports(
    known: list[NamedLimit], rng: random.Random
) -> list[LimitReport]:
    now = read_clock_with_suspend()
    return [
        LimitReport(
            target=limit.target,
            born=limit.born,
            rate=limit.rate,
            age=round(now - limit.named_at, 3),
        )
        for limit in draw_reports(known, rng)
    ]
