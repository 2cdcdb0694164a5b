"""A configuration as operators write it, in TOML."""

import tomllib

import msgspec

from ragwortcourse.configuration.check import check_configuration
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.finding import Finding


def read_configuration(text: str) -> Configuration | tuple[Finding, ...]:
    """The configuration written in TOML, or all that is wrong with it.

    :param text: content of the file.
    """
    try:
        plain = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return (
            Finding(place='', value='', allowed='TOML', message=str(error)),
        )
    try:
        configuration = msgspec.convert(plain, Configuration)
    except msgspec.ValidationError as error:
        return (Finding(place='', value='', allowed='', message=str(error)),)
    return check_configuration(configuration) or configuration
