"""Exchange of the departures of targets between entry daemons."""

import random
from collections.abc import Callable

import msgspec

from ragwortcourse.bounded import WholeNumber
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.fleet_updates import note_departure
from ragwortcourse.forwarding.report_sender import ReportSender, draw_reports
from ragwortcourse.forwarding.target_departures import Departure
from ragwortcourse.identifiers import DaemonId, TargetName


class DepartureReport(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Incarnation of a target that leaves."""

    target: TargetName
    born: WholeNumber


class DepartureMessage(
    msgspec.Struct, frozen=True, kw_only=True, tag='departure'
):
    """Departures that one daemon knows."""

    daemon: DaemonId
    reports: list[DepartureReport]


def build_departure_sender(
    *,
    state: FleetState,
    daemon: DaemonId,
    rng: random.Random,
    send: Callable[[bytes, str], None],
) -> ReportSender[DepartureReport]:
    """Build the sender of the departures that one daemon knows.

    :param send: sends a datagram to an address, ``ip:port``.
    """

    def encode(reports: list[DepartureReport]) -> bytes:
        return msgspec.json.encode(
            DepartureMessage(daemon=daemon, reports=reports)
        )

    def list_news(since: float, _: int) -> list[DepartureReport]:
        return _write_reports(state.departures.list_since(since), rng)

    def list_standing() -> list[DepartureReport]:
        listed = [
            departure
            for departure in state.departures.list_all()
            if departure.target in state.targets
        ]
        return _write_reports(listed, rng)

    return ReportSender(
        list_news=list_news,
        list_standing=list_standing,
        encode=encode,
        send=send,
        rng=rng,
    )


def note_departures(state: FleetState, message: DepartureMessage) -> None:
    """Apply the departures that another daemon knows."""
    for report in message.reports:
        departure = Departure(target=report.target, born=report.born)
        note_departure(state, departure, told_by=message.daemon)


def _write_reports(
    known: list[Departure], rng: random.Random
) -> list[DepartureReport]:
    return [
        DepartureReport(target=departure.target, born=departure.born)
        for departure in draw_reports(known, rng)
    ]
