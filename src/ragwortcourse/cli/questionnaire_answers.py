"""Answers to the questionnaire, from a person or from a file."""

import dataclasses
from collections.abc import Callable, Mapping

import click

from ragwortcourse.cli.question import Ask, Question
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.structure import show_value


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswersFile:
    """Answers from a file.

    :param ask: gives an answer, an empty one in place of a bad one.
    :param list_findings: all bad, missing and surplus answers, after the
        last question.
    """

    ask: Ask
    list_findings: Callable[[], tuple[Finding, ...]]


def ask_person(question: Question) -> str:
    """Answer of a person at a terminal; asks until it may stand."""

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
    """Answers in a parsed TOML document."""
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
    """Answers as text by dotted key; lists become comma-separated text."""
    flat: dict[str, str] = {}
    for name, found in raw.items():
        key = f'{place}.{name}' if place else name
        if isinstance(found, Mapping):
            flat.update(flatten_answers(found, key))
        elif isinstance(found, list):
            flat[key] = ', '.join(str(part) for part in found)
        else:
            flat[key] = str(found)
    return flat
