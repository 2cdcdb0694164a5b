"""Checks of the answers that callers got against the runs at targets."""

import collections
import re
from collections.abc import Iterable, Iterator
from typing import Final

from fakes.callers import PIECES, Callers, Ending, Told
from fakes.witness import Witness
from ragwortcourse.messages.outcome import OutcomeKind

WORD: Final = re.compile(rb'(v\d+)-(\d+)')
END_MARK: Final = b'data: [DONE]'


def find_faults(callers: Callers, witness: Witness) -> list[str]:
    """List the violated guarantees, one line each."""
    runs = witness.count_runs()
    faults: list[str] = []
    for told in callers.told:
        if told.key is None:
            faults.extend(check_model_answer(told))
    for key, sendings in group_by_key(callers.told).items():
        faults.extend(check_charge(key, sendings, runs[key]))
    faults.extend(
        f'{each.target} got {each.load:.2f} of what it bears at {each.at:.2f}'
        for each in witness.beginnings
        if each.load > 1
    )
    return faults


def group_by_key(told: Iterable[Told]) -> dict[str, list[Told]]:
    """Group the sendings of charges by idempotency key."""
    by_key: dict[str, list[Told]] = collections.defaultdict(list)
    for each in told:
        if each.key is not None:
            by_key[each.key].append(each)
    return by_key


def check_model_answer(told: Told) -> Iterator[str]:
    """Check that a whole answer is complete and from the stated version."""
    if told.ending is not Ending.WHOLE:
        return
    words = WORD.findall(told.body)
    versions = {version.decode() for version, _ in words}
    if versions != {told.version}:
        yield f'{told.request}: {told.version} answered with {versions}'
    numbers = [int(number) for _, number in words]
    if numbers != list(range(PIECES)) or END_MARK not in told.body:
        yield f'{told.request}: not whole: {told.body!r}'


def check_charge(key: str, sendings: list[Told], runs: int) -> Iterator[str]:
    """Check that a charge ran at most once and its stated outcome is true.

    :param runs: number of runs at targets.
    """
    if runs > 1:
        yield f'{key} ran {runs} times: {sendings}'
    endings = {told.ending for told in sendings}
    outcomes = {told.outcome for told in sendings}
    done = Ending.WHOLE in endings or OutcomeKind.COMPLETED in outcomes
    if done and runs != 1:
        yield f'{key} was said to be done and ran {runs} times'
    if runs and outcomes == {OutcomeKind.NOT_RUN}:
        yield f'{key} was said not to have run and ran: {sendings}'
