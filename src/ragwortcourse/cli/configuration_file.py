"""Reads a configuration file for a command."""

import pathlib

from ragwortcourse.cli.exit_code import ExitCode
from ragwortcourse.cli.output import Failure, report_failure
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.document import read_configuration
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.messages.outcome import OutcomeKind


def read_file(path: pathlib.Path) -> Configuration | tuple[Finding, ...]:
    """The configuration in a file, or all that is wrong with it."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return (
            Finding(
                place='',
                value='',
                allowed='a readable TOML file in UTF-8',
                message=str(error),
            ),
        )
    return read_configuration(text)


def require_configuration(
    path: pathlib.Path, *, as_json: bool
) -> Configuration:
    """The configuration in a file; ends the command where it is unsound."""
    found = read_file(path)
    if isinstance(found, Configuration):
        return found
    raise report_failure(
        Failure(
            code='configuration_unsound',
            message=f'{path}: {len(found)} findings',
            outcome=OutcomeKind.NOT_RUN,
            findings=found,
            file=str(path),
        ),
        ExitCode.REFUSED,
        as_json=as_json,
    )
