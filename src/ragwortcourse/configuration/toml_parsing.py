"""Parsing of configurations that operators write in TOML."""

import tomllib

import msgspec

from ragwortcourse.configuration.check import check_configuration
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.structure import collect_structure_findings


def parse_configuration(text: str) -> Configuration | tuple[Finding, ...]:
    """Parse and check a configuration in TOML.

    :param text: content of the file.
    :return: the configuration, or all findings.
    """
    try:
        raw = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return (
            Finding(
                place='(file)',
                value='',
                allowed='TOML 1.0',
                message=str(error),
            ),
        )
    findings = collect_structure_findings(raw, Configuration)
    if findings:
        return findings
    configuration = msgspec.convert(raw, Configuration)
    return check_configuration(configuration) or configuration
