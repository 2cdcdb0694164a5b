"""Reads and checks configuration files named on the command line."""

import pathlib

from ragwortcourse.cli.output import report_local_refusal
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.configuration.toml_parsing import parse_configuration


def read_file(path: pathlib.Path) -> Configuration | tuple[Finding, ...]:
    """Read a configuration file.

    :return: the configuration, or every finding where the file is unreadable
        or unsound.
    """
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
    return parse_configuration(text)


def require_configuration(
    path: pathlib.Path, *, as_json: bool
) -> Configuration:
    """Read a configuration file, or exit with its findings.

    :raises Exit: the file is unreadable or unsound; the findings have been
        shown.
    """
    found = read_file(path)
    if isinstance(found, Configuration):
        return found
    raise report_local_refusal(
        'configuration_unsound',
        f'{path}: {len(found)} findings',
        as_json=as_json,
        findings=found,
        file=str(path),
    )
