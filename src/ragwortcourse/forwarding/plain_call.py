"""Requests whose answers are read whole before they are passed on."""

from http import HTTPStatus
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.answer_cut import AnswerCutError
from ragwortcourse.forwarding.open_try import OpenTry
from ragwortcourse.forwarding.reply import Refusal, Reply, WholeAnswer
from ragwortcourse.forwarding.tries import Tries
from ragwortcourse.forwarding.tries_end import TriesEnd
from ragwortcourse.forwarding.try_lane import TryLane
from ragwortcourse.forwarding.try_race import TryRace

# Share of the remaining time after which one more target is asked.
TRY_SHARE: Final = 0.5


async def serve_plain(tries: Tries) -> Reply:
    """Try targets until one answers with a status below 500.

    :return: the whole answer, or the last failure if no target may be tried
        any more.
    """

    def choose_patience() -> float:
        return (tries.work.deadline - read_clock()) * TRY_SHARE

    race = TryRace(tries=tries, run=_run, choose_patience=choose_patience)
    try:
        async with race.keep_deadline():
            race.start()
            return await _serve(tries, race)
    except TimeoutError:
        return tries.failure or tries.run_out()


async def _serve(
    tries: Tries, race: TryRace[WholeAnswer | Refusal | TriesEnd | None]
) -> Reply:
    while True:
        lane, end = await race.wait_end()
        if isinstance(end, WholeAnswer):
            if end.head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                return end
            tries.failure = end
        if not race.is_empty:
            # Another target still has the request.
            continue
        cause = _find_cause(tries, lane, end)
        if cause is not None:
            return tries.failure or tries.give_up(cause)
        race.start()


def _find_cause(
    tries: Tries,
    lane: TryLane,
    end: WholeAnswer | Refusal | TriesEnd | None,
) -> Refusal | TriesEnd | None:
    """Find why no further target is tried; none if one is."""
    if isinstance(end, Refusal | TriesEnd) and not lane.silent:
        return end
    return tries.find_end()


async def _run(lane: TryLane) -> WholeAnswer | Refusal | TriesEnd | None:
    """Get one answer; none if it is invalid or cut."""
    opened = await lane.open(None)
    if not isinstance(opened, OpenTry):
        return opened
    answer = opened.answer
    try:
        body = await answer.read_whole()
    except AnswerCutError as error:
        lane.fail(opened, str(error), error.cause)
        return None
    finally:
        lane.end(opened)
    lane.crashes.note_answered(
        success=answer.head.is_success, framed=answer.is_framed
    )
    if answer.head.is_success:
        opened.load.note_success(read_clock() - opened.began_at)
    return WholeAnswer(head=answer.head, body=body)
