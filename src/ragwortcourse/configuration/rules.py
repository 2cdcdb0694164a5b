"""Checks of single values, which yield findings with their place."""

import re
from collections.abc import Iterator, Mapping, Sequence
from collections.abc import Set as AbstractSet
from typing import Final, Protocol

from ragwortcourse.configuration.finding import Finding
from ragwortcourse.structure import show_value

NAME_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
NAME_WORDS: Final = (
    'letters, digits, dot, dash, underscore; 1 to 63; a letter or digit first'
)
DIGEST_PATTERN: Final = re.compile('[0-9a-f]{64}')


def build_finding(
    place: str, value: object, allowed: str, message: str
) -> Finding:
    """Build a finding, with the value shown as text."""
    return Finding(
        place=place,
        value=show_value(value),
        allowed=allowed,
        message=message,
    )


def check_name(place: str, name: str) -> Iterator[Finding]:
    """Check that a name is safe in paths, headers and logs."""
    if not NAME_PATTERN.fullmatch(name):
        yield build_finding(place, name, NAME_WORDS, 'malformed name')


def check_digest(place: str, digest: str) -> Iterator[Finding]:
    """Check that a digest is SHA-256 in lower-case hex."""
    if not DIGEST_PATTERN.fullmatch(digest):
        yield build_finding(
            place,
            digest,
            'a SHA-256 digest: 64 digits 0-9 a-f',
            'malformed digest',
        )


def check_range(
    place: str, number: float, least: float, most: float
) -> Iterator[Finding]:
    """Check that a number lies between two inclusive bounds."""
    if not least <= number <= most:
        yield build_finding(place, number, f'{least} to {most}', 'out of range')


def check_known(
    place: str, name: str, known: AbstractSet[str], kind: str
) -> Iterator[Finding]:
    """Check that a name is defined in the configuration.

    :param known: defined names.
    :param kind: what the name stands for, such as ``failure domain``.
    """
    if name not in known:
        allowed = ', '.join(sorted(known)) or f'(no {kind} is there)'
        yield build_finding(place, name, allowed, f'unknown {kind}')


def check_unique(values: Mapping[str, str]) -> Iterator[Finding]:
    """Check that values differ; a repeated value is the finding.

    :param values: values by their place.
    """
    seen: dict[str, str] = {}
    for place, value in values.items():
        first = seen.setdefault(value, place)
        if first != place:
            yield build_finding(
                place,
                value,
                f'a value other than that of {first}',
                'given twice',
            )


class Named(Protocol):
    """Object with a name."""

    @property
    def name(self) -> str:
        """Name to be checked."""


def place_names(place: str, members: Sequence[Named]) -> dict[str, str]:
    """Map the place of each member to its name."""
    return {
        f'{place}[{index}].name': member.name
        for index, member in enumerate(members)
    }
