"""Reads log files of daemons and selects the lines about one request."""

import pathlib
from collections.abc import Iterable, Iterator, Sequence

import msgspec


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that every log line has; further fields are ignored.

    :param at: local time, to the millisecond.
    :param daemon: id of the daemon that logged the line.
    :param request: id of the request; none on lines that are about no single
        request.
    """

    at: str
    daemon: str
    message: str
    request: str | None = None


class ParsedLine(msgspec.Struct, frozen=True, kw_only=True):
    """A log line with all its fields as they were written."""

    line: LogLine
    fields: dict[str, object]


def read_log_files(paths: Iterable[pathlib.Path]) -> list[ParsedLine]:
    """Read the log lines of all files in order of time.

    Text that is no log line in JSON is skipped.
    """
    found: list[ParsedLine] = []
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as source:
            found.extend(_read_lines(source))
    return sorted(found, key=lambda parsed: parsed.line.at)


def select_lines(
    known: Sequence[ParsedLine], request: str, context_lines: int
) -> list[ParsedLine]:
    """Select the lines about a request, and the lines that lead up to them.

    :param known: lines in order of time.
    :param context_lines: lines about no request to add for each daemon, taken
        from just before its first line about the request.
    :return: the selected lines in order of time.
    """
    matching = [
        position
        for position, each in enumerate(known)
        if each.line.request == request
    ]
    first_positions: dict[str, int] = {}
    for match in matching:
        first_positions.setdefault(known[match].line.daemon, match)
    for daemon, first in first_positions.items():
        earlier = _list_context(known, daemon, first)
        matching.extend(earlier[max(len(earlier) - context_lines, 0) :])
    return [known[position] for position in sorted(matching)]


def _list_context(
    known: Sequence[ParsedLine], daemon: str, end: int
) -> list[int]:
    """Return positions of a daemon's lines about no request before ``end``."""
    return [
        position
        for position, each in enumerate(known[:end])
        if each.line.daemon == daemon and each.line.request is None
    ]


def _read_lines(source: Iterable[str]) -> Iterator[ParsedLine]:
    for text in source:
        # Log collectors may put a time or a host before the line.
        start = text.find('{')
        try:
            fields = msgspec.json.decode(text[start:])
            line = msgspec.convert(fields, LogLine)
        except msgspec.DecodeError:
            # Output of another program, or a truncated line.
            continue
        yield ParsedLine(line=line, fields=fields)
