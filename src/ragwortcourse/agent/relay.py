"""Relays a target's answer, resumes broken streams, reports truncation."""

import contextlib
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Final

from opentelemetry import metrics

from ragwortcourse.agent.relay_progress import RelayProgress
from ragwortcourse.agent.run import Run
from ragwortcourse.bodies import read_media_type
from ragwortcourse.engines.engine import (
    EngineAnswer,
    EngineBrokenError,
    StartOutcome,
)
from ragwortcourse.messages.attempt import AnswerBrokenError, AttemptAnswer
from ragwortcourse.messages.attempt_report import AttemptState

MAX_RESUMES: Final = 3
HTTP_OK: Final = 200
EVENT_STREAM: Final = 'text/event-stream'

METER: Final = metrics.get_meter(__name__)
RESUMED: Final = METER.create_counter('ragwortcourse.streams.resumed')
BROKEN: Final = METER.create_counter('ragwortcourse.streams.broken')


def may_continue(run: Run, first: EngineAnswer, resumed: EngineAnswer) -> bool:
    """Tell whether an answer may go on with the body of a broken one.

    A failure that is worded as a success has another media type.
    """
    return (
        resumed.status == HTTP_OK
        and find_mismatch(run, resumed) is None
        and read_media_type(resumed.headers) == read_media_type(first.headers)
    )


def find_mismatch(run: Run, answer: EngineAnswer) -> str | None:
    """Return the error code of an answer that does not match the attempt."""
    attempt = run.attempt
    is_model = attempt.model is not None
    if answer.attempt is None and not is_model:
        return None
    if answer.attempt != attempt.attempt:
        return 'crossed_answer'
    if is_model and answer.version != attempt.version:
        return 'wrong_version'
    return None


def is_model_stream(run: Run, answer: EngineAnswer) -> bool:
    """Tell whether the answer must end with ``STREAM_END``."""
    return (
        run.attempt.model is not None
        and answer.status == HTTP_OK
        and read_media_type(answer.headers) == EVENT_STREAM
    )


async def relay_answer(
    run: Run, progress: RelayProgress
) -> AsyncGenerator[bytes]:
    """Yield the body in chunks, starting with an empty chunk.

    The empty chunk lets the caller enter the generator, so that closing the
    generator at any time releases the permit.

    :raises AnswerBrokenError: if the answer breaks and cannot be resumed.
    """
    try:
        yield b''
        async with contextlib.aclosing(
            stream_with_resume(run, progress)
        ) as body:
            async for chunk in body:
                yield chunk
    finally:
        abandon(run, progress.answer, progress)


async def stream_with_resume(
    run: Run, progress: RelayProgress
) -> AsyncGenerator[bytes]:
    """Yield the body in chunks, resuming the answer when it breaks."""
    while True:
        with contextlib.suppress(EngineBrokenError):
            async for chunk in progress.answer.body:
                progress.count_chunk(chunk)
                yield chunk
            if progress.may_be_complete:
                run.end(AttemptState.COMPLETED)
                return
        await resume_answer(run, progress)


async def resume_answer(run: Run, progress: RelayProgress) -> None:
    """Resume a broken answer on the same model version.

    :raises AnswerBrokenError: if the answer cannot be resumed.
    """
    outcome: StartOutcome | None = None
    # A plain service would treat the resume request as a new call and run
    # the call again.
    resumable = run.attempt.model is not None and run.attempt.idempotent
    if resumable and progress.resumes < MAX_RESUMES:
        progress.resumes += 1
        outcome = await run.agent.engine.resume(
            run.build_request(), progress.sent
        )
    if not isinstance(outcome, EngineAnswer):
        await break_off(run)
        raise AnswerBrokenError(run.attempt.attempt)
    if not may_continue(run, progress.answer, outcome):
        await close_body(outcome)
        await break_off(run)
        raise AnswerBrokenError(run.attempt.attempt)
    RESUMED.add(1)
    progress.resume_with(outcome)


async def break_off(run: Run) -> None:
    """End an attempt whose answer cannot be completed."""
    BROKEN.add(1)
    await run.end_lost()


def abandon(
    run: Run, answer: EngineAnswer | None, progress: RelayProgress | None = None
) -> None:
    """End an attempt whose entry daemon has disconnected.

    Idempotent work is cancelled at the target. Other work runs to its end,
    and its outcome is recorded for the report.
    """
    if run.ended:
        return
    if run.attempt.idempotent or progress is None:
        run.agent.spawn(cancel_run(run, answer))
    else:
        run.agent.spawn(drain_answer(run, progress))


async def cancel_run(run: Run, answer: EngineAnswer | None) -> None:
    """Cancel the work at the target, then release the permit."""
    try:
        await run.agent.engine.cancel(run.attempt.attempt)
        await close_body(answer)
    finally:
        run.end(AttemptState.BROKEN)


async def drain_answer(run: Run, progress: RelayProgress) -> None:
    """Read an answer to its end and discard the body."""
    with contextlib.suppress(AnswerBrokenError):
        await read_to_end(stream_with_resume(run, progress))


async def close_body(answer: EngineAnswer | AttemptAnswer | None) -> None:
    """Close the body of an answer that is no longer read."""
    if answer is None:
        return
    close = getattr(answer.body, 'aclose', None)
    if close is not None:
        await close()


async def read_to_end(body: AsyncIterator[bytes]) -> None:
    """Read a body to its end and discard it."""
    more: bytes | None = b''
    while more is not None:
        more = await anext(body, None)
