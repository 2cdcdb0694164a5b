"""Shows the log lines about one request from files."""

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

# Fields that are printed in the first line of an entry, or that carry no
# information about one request.
FIRST_LINE_FIELDS: Final = frozenset(
    ('at', 'daemon', 'message', 'request', 'name', 'role')
)


def explain_from_logs(
    request: str,
    logs: tuple[pathlib.Path, ...],
    context_lines: int,
    *,
    as_json: bool,
) -> None:
    """Print the log lines about a request, with the lines before them.

    :param context_lines: lines of each daemon about no request to show before
        its first line about the request.
    :raises Exit: no line is about the request; the failure has been shown.
    """
    lines = select_lines(read_log_files(logs), request, context_lines)
    if not lines:
        raise report_local_refusal(
            'no_record',
            f'{request}: no line of {len(logs)} files is about this request',
            as_json=as_json,
        )
    if as_json:
        print_json([parsed.fields for parsed in lines])
        return
    for parsed in lines:
        click.echo('\n'.join(format_line(parsed)))


def format_line(parsed: ParsedLine) -> Iterator[str]:
    """Format a log line for people.

    Lines about no request are indented.
    """
    line = parsed.line
    indent = '' if line.request else '    '
    yield f'{indent}{line.at}  {line.daemon}: {line.message}'
    for name, content in parsed.fields.items():
        if name not in FIRST_LINE_FIELDS:
            yield f'{indent}    {name}: {content}'
