"""Requests whose answers are read whole before they are passed on."""

import asyncio
from http import HTTPStatus
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.answer_cut import AnswerCutError
from ragwortcourse.forwarding.open_try import OpenTry
from ragwortcourse.forwarding.reply import Refusal, Reply, WholeAnswer
from ragwortcourse.forwarding.tries import Tries

# Share of the remaining time that a try may take if another may follow.
TRY_SHARE: Final = 0.5


async def serve_plain(tries: Tries) -> Reply:
    """Try targets until one answers with a status below 500.

    :return: the whole answer, or the last failure if no target may be tried
        any more.
    """
    failed: WholeAnswer | None = None
    while True:
        reply = await _try_once(tries)
        if isinstance(reply, Refusal):
            return failed if failed and tries.may_have_run else reply
        if reply is not None:
            if reply.head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                return reply
            failed = reply
        end = tries.find_end()
        if end is not None:
            return failed or tries.give_up(end)


async def _try_once(tries: Tries) -> Reply | None:
    """Get one answer; none if it is missing, invalid, cut or too late."""
    try:
        async with asyncio.timeout_at(_read_limit(tries)):
            opened = await tries.open(None, None)
            if isinstance(opened, Refusal):
                return opened
            return await _read_whole(tries, opened)
    except TimeoutError:
        tries.note_timeout()
        return None


def _read_limit(tries: Tries) -> float:
    work = tries.work
    if not work.route.may_repeat or tries.runs + 1 >= work.route.max_tries:
        return work.deadline
    now = read_clock()
    return now + (work.deadline - now) * TRY_SHARE


async def _read_whole(tries: Tries, opened: OpenTry) -> WholeAnswer | None:
    try:
        body = await opened.answer.read_whole()
    except AnswerCutError as error:
        tries.fail(opened, str(error), error.cause)
        return None
    finally:
        tries.end(opened)
    head = opened.answer.head
    tries.crashes.note_answered(
        success=head.is_success, framed=opened.answer.is_framed
    )
    if head.is_success:
        opened.load.note_success(read_clock() - opened.began_at)
    return WholeAnswer(head=head, body=body)
