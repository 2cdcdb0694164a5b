"""A configuration as operators write it, in TOML."""

import tomllib

import msgspec

from ragwortcourse.configuration.check import check_configuration
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.structure import collect_structure_findings


def parse_configuration(text: str) -> Configuration | tuple[Finding, ...]:
    """The configuration written in TOML, or all that is wrong with it.

    :param text: content of the file.
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
