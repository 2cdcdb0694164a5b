"""Reader of a settings file that reports all findings at once."""

import pathlib
import tomllib

import msgspec

from ragwortcourse.configuration.finding import Finding
from ragwortcourse.settings import Settings
from ragwortcourse.settings_check import check_settings
from ragwortcourse.structure import collect_structure_findings, show_value


def read_settings(path: pathlib.Path) -> Settings | tuple[Finding, ...]:
    """Read the settings, or return all findings that prevent a start.

    :param path: TOML file.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return (
            Finding(
                place=str(path),
                value='',
                allowed='a readable TOML file in UTF-8',
                message=str(error),
            ),
        )
    return parse_settings(text)


def parse_settings(text: str) -> Settings | tuple[Finding, ...]:
    """Parse the text of a settings file, or return all findings in it."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return (
            Finding(
                place='(file)',
                value=show_value(text),
                allowed='TOML 1.0',
                message=str(error),
            ),
        )
    findings = collect_structure_findings(raw, Settings)
    if findings:
        return findings
    settings = msgspec.convert(raw, Settings)
    return check_settings(settings) or settings
