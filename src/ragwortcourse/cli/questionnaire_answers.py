"""Obtains answers to the questionnaire from a person or a file."""

import dataclasses
from collections.abc import Callable, Mapping

import click

from ragwortcourse.cli.question import Ask, Question
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.structure import show_value


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswersFile:
    """Answers from a file, with the findings about them.

    :param ask: returns the answer to a question; the default, or else
        ``'0'``, in place of a bad or missing answer.
    :param list_findings: lists all bad, missing and surplus answers; to be
        called after the last question.
    """

    ask: Ask
    list_findings: Callable[[], tuple[Finding, ...]]


def ask_person(question: Question) -> str:
    """Prompt a person at the terminal until the answer is allowed."""

    def check_answer(answer: str) -> str:
        if question.accept(answer):
            return answer
        raise click.BadParameter(f'allowed: {question.allowed}')

    answer: str = click.prompt(
        question.text,
        default=question.default,
        value_proc=check_answer,
        err=True,
    )
    return answer


def read_answers(raw: Mapping[str, object]) -> AnswersFile:
    """Read answers from a parsed TOML document."""
    given = flatten_answers(raw)
    findings: list[Finding] = []
    asked: set[str] = set()

    def ask(question: Question) -> str:
        asked.add(question.key)
        answer = given.get(question.key, question.default)
        if answer is not None and question.accept(answer):
            return answer
        findings.append(
            Finding(
                place=question.key,
                value='' if answer is None else show_value(answer),
                allowed=question.allowed,
                message='missing' if answer is None else 'not allowed',
            )
        )
        return question.default or '0'

    def list_findings() -> tuple[Finding, ...]:
        surplus = [
            Finding(
                place=key,
                value=show_value(answer),
                allowed='answers to the questions asked',
                message='answers no question',
            )
            for key, answer in given.items()
            if key not in asked
        ]
        return (*findings, *surplus)

    return AnswersFile(ask=ask, list_findings=list_findings)


def flatten_answers(
    raw: Mapping[str, object], place: str = ''
) -> dict[str, str]:
    """Return answers as text by dotted key; lists become comma-separated.

    :param place: dotted key of ``raw`` itself.
    """
    flat: dict[str, str] = {}
    for name, entry in raw.items():
        key = f'{place}.{name}' if place else name
        if isinstance(entry, Mapping):
            flat.update(flatten_answers(entry, key))
        elif isinstance(entry, list):
            flat[key] = ', '.join(str(part) for part in entry)
        else:
            flat[key] = str(entry)
    return flat
