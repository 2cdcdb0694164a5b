"""Checks of the answers that callers got against the runs at targets."""

import collections
import re
from collections.abc import Iterable, Iterator
from typing import Final

from fakes.callers import ANSWER_EVENTS, Callers, CallResult, Ending
from fakes.run_recorder import RunRecorder
from ragwortcourse.messages.outcome import OutcomeKind

WORD: Final = re.compile(rb'(v\d+)-(\d+)')
END_MARK: Final = b'data: [DONE]'


def find_faults(callers: Callers, recorder: RunRecorder) -> list[str]:
    """List the violated guarantees, one line each."""
    runs = recorder.count_runs()
    faults: list[str] = []
    for result in callers.results:
        if result.key is None:
            faults.extend(check_model_answer(result))
    for key, sendings in group_by_key(callers.results).items():
        faults.extend(check_charge(key, sendings, runs[key]))
    faults.extend(
        f'{each.target} got {each.load:.2f} of what it bears at {each.at:.2f}'
        for each in recorder.run_starts
        if each.load > 1
    )
    return faults


def group_by_key(results: Iterable[CallResult]) -> dict[str, list[CallResult]]:
    """Group the sendings of charges by idempotency key."""
    by_key: dict[str, list[CallResult]] = collections.defaultdict(list)
    for each in results:
        if each.key is not None:
            by_key[each.key].append(each)
    return by_key


def check_model_answer(result: CallResult) -> Iterator[str]:
    """Check that a whole answer is complete and from the stated version."""
    if result.ending is not Ending.COMPLETE:
        return
    words = WORD.findall(result.body)
    versions = {version.decode() for version, _ in words}
    if versions != {result.version}:
        yield f'{result.request}: {result.version} answered with {versions}'
    numbers = [int(number) for _, number in words]
    if numbers != list(range(ANSWER_EVENTS)) or END_MARK not in result.body:
        yield f'{result.request}: not whole: {result.body!r}'


def check_charge(
    key: str, sendings: list[CallResult], runs: int
) -> Iterator[str]:
    """Check that a charge ran at most once and its stated outcome is true.

    :param runs: number of runs at targets.
    """
    if runs > 1:
        yield f'{key} ran {runs} times: {sendings}'
    endings = {result.ending for result in sendings}
    outcomes = {result.outcome for result in sendings}
    done = Ending.COMPLETE in endings or OutcomeKind.COMPLETED in outcomes
    if done and runs != 1:
        yield f'{key} was said to be done and ran {runs} times'
    if runs and outcomes == {OutcomeKind.NOT_RUN}:
        yield f'{key} was said not to have run and ran: {sendings}'
