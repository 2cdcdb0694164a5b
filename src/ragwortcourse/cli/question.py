"""Questions of the questionnaire, by kind of answer."""

import dataclasses
from collections.abc import Callable
from typing import Final

from ragwortcourse.settings_check import (
    DIGEST_PATTERN,
    NAME_PATTERN,
    NAME_WORDS,
)

DIGEST_DESCRIPTION: Final = 'a SHA-256 digest: 64 digits 0-9 a-f'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Question:
    """A question and the answers that it allows.

    :param key: dotted key of the answer in an answers file.
    :param text: question as shown to a person.
    :param allowed: description of the allowed answers.
    :param accept: tells whether an answer is allowed.
    :param default: answer where none is given; none: an answer is required.
    """

    key: str
    text: str
    allowed: str
    accept: Callable[[str], bool]
    default: str | None = None


Ask = Callable[[Question], str]


def split_list(answer: str) -> tuple[str, ...]:
    """Split a comma-separated answer; empty parts are dropped."""
    parts = (part.strip() for part in answer.split(','))
    return tuple(part for part in parts if part)


def ask_names(
    ask: Ask, key: str, text: str, default: str | None = None
) -> tuple[str, ...]:
    """Ask for several different names."""

    def accept(answer: str) -> bool:
        names = split_list(answer)
        unique = len(set(names)) == len(names)
        return unique and all(map(NAME_PATTERN.fullmatch, names))

    question = Question(
        key=key,
        text=text,
        allowed=f'different names, separated by commas ({NAME_WORDS})',
        accept=accept,
        default=default,
    )
    return split_list(ask(question))


def ask_name(ask: Ask, key: str, text: str, default: str | None = None) -> str:
    """Ask for one name."""
    return ask(
        Question(
            key=key,
            text=text,
            allowed=NAME_WORDS,
            accept=lambda answer: bool(NAME_PATTERN.fullmatch(answer)),
            default=default,
        )
    )


def ask_choices(
    ask: Ask, key: str, text: str, choices: tuple[str, ...]
) -> tuple[str, ...]:
    """Ask for some of the given choices; all of them by default."""

    def accept(answer: str) -> bool:
        chosen = split_list(answer)
        return bool(chosen) and set(chosen) <= set(choices)

    question = Question(
        key=key,
        text=text,
        allowed=f'some of: {", ".join(choices)}',
        accept=accept,
        default=', '.join(choices),
    )
    return split_list(ask(question))


def ask_count(
    ask: Ask, key: str, text: str, default: int, least: int = 1
) -> int:
    """Ask for a whole number.

    :param least: smallest number allowed.
    """
    answer = ask(
        Question(
            key=key,
            text=text,
            allowed=f'a whole number, {least} or more',
            accept=lambda answer: answer.isdecimal() and int(answer) >= least,
            default=str(default),
        )
    )
    return int(answer)


def ask_digest(ask: Ask, key: str, text: str) -> str:
    """Ask for one SHA-256 digest."""
    return ask(
        Question(
            key=key,
            text=text,
            allowed=DIGEST_DESCRIPTION,
            accept=lambda answer: bool(DIGEST_PATTERN.fullmatch(answer)),
        )
    )


def ask_digests(
    ask: Ask, key: str, text: str, default: str = ''
) -> tuple[str, ...]:
    """Ask for SHA-256 digests; none by default."""
    answer = ask(
        Question(
            key=key,
            text=text,
            allowed=f'several of: {DIGEST_DESCRIPTION}',
            accept=lambda answer: all(
                map(DIGEST_PATTERN.fullmatch, split_list(answer))
            ),
            default=default,
        )
    )
    return split_list(answer)
