"""Lines of daemons' logs about one request, in order, from files."""

import pathlib
from collections.abc import Iterable, Iterator, Sequence

import msgspec


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line, whatever else it holds.

    :param at: local time, to the millisecond.
    :param request: none on lines about what a daemon believes.
    """

    at: str
    daemon: str
    message: str
    request: str | None = None


class ParsedLine(msgspec.Struct, frozen=True, kw_only=True):
    """A line with every field as it was written."""

    line: LogLine
    fields: dict[str, object]


def read_log_files(paths: Iterable[pathlib.Path]) -> list[ParsedLine]:
    """Lines of all files in order of time; others than JSON are left out."""
    found: list[ParsedLine] = []
    for path in paths:
        with path.open(encoding='utf-8', errors='replace') as source:
            found.extend(_read_lines(source))
    return sorted(found, key=lambda known: known.line.at)


def select_lines(
    known: Sequence[ParsedLine], request: str, context_lines: int
) -> list[ParsedLine]:
    """Lines about a request, and what its daemons last came to believe.

    :param context_lines: lines of each daemon before its first one about the
        request.
    """
    about = [
        place
        for place, each in enumerate(known)
        if each.line.request == request
    ]
    firsts: dict[str, int] = {}
    for at in about:
        firsts.setdefault(known[at].line.daemon, at)
    for daemon, first in firsts.items():
        earlier = _list_beliefs(known, daemon, first)
        about.extend(earlier[max(len(earlier) - context_lines, 0) :])
    return [known[place] for place in sorted(about)]


def _list_beliefs(
    known: Sequence[ParsedLine], daemon: str, end: int
) -> list[int]:
    """Places of a daemon's lines about no request, before one line."""
    return [
        place
        for place, each in enumerate(known[:end])
        if each.line.daemon == daemon and each.line.request is None
    ]


def _read_lines(source: Iterable[str]) -> Iterator[ParsedLine]:
    for text in source:
        # Collected logs may put a time or a host before the line.
        start = text.find('{')
        try:
            fields = msgspec.json.decode(text[start:])
            line = msgspec.convert(fields, LogLine)
        except msgspec.DecodeError:
            # Output of another program, or a line that was cut.
            continue
        yield ParsedLine(line=line, fields=fields)
