"""Shows what log files say of a request."""

import pathlib
from collections.abc import Iterator
from typing import Final

import click

from ragwortcourse.cli.log_files import (
    ParsedLine,
    read_log_files,
    select_lines,
)
from ragwortcourse.cli.output import print_json, report_local_refusal

# Fields that begin a line, or say nothing of one request.
SHOWN_BEFORE: Final = frozenset(
    ('at', 'daemon', 'message', 'request', 'name', 'role')
)


def explain_from_logs(
    request: str,
    logs: tuple[pathlib.Path, ...],
    beliefs: int,
    *,
    as_json: bool,
) -> None:
    """Show what log files say of a request.

    :raises Exit: no line is about it.
    """
    lines = select_lines(read_log_files(logs), request, beliefs)
    if not lines:
        raise report_local_refusal(
            'no_record',
            f'{request}: no line of {len(logs)} files is about this request',
            as_json=as_json,
        )
    if as_json:
        print_json([each.fields for each in lines])
        return
    for each in lines:
        click.echo('\n'.join(describe_line(each)))


def describe_line(known: ParsedLine) -> Iterator[str]:
    """One line of a log for people; beliefs stand further in."""
    line = known.line
    indent = '' if line.request else '    '
    yield f'{indent}{line.at}  {line.daemon}: {line.message}'
    for name, found in known.fields.items():
        if name not in SHOWN_BEFORE:
            yield f'{indent}    {name}: {found}'
