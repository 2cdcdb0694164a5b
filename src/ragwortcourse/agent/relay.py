"""Relays a target's answer, resumes broken streams, reports truncation."""

import contextlib
import dataclasses
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Final

from opentelemetry import metrics

from ragwortcourse.agent.run import Run
from ragwortcourse.engines.engine import (
    EngineAnswer,
    EngineBrokenError,
    StartOutcome,
)
from ragwortcourse.messages.attempt import AnswerBrokenError, AttemptAnswer
from ragwortcourse.messages.attempt_report import AttemptState

STREAM_END: Final = b'data: [DONE]'
TAIL_BYTES: Final = 24
MAX_RESUMES: Final = 3
HTTP_OK: Final = 200

METER: Final = metrics.get_meter(__name__)
RESUMED: Final = METER.create_counter('ragwortcourse.streams.resumed')
BROKEN: Final = METER.create_counter('ragwortcourse.streams.broken')


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class RelayProgress:
    """Progress of the relay of one answer.

    :param sent: body bytes relayed.
    :param tail: the last ``TAIL_BYTES`` of the body, kept for streams only.
    :param resumes: number of resumptions attempted.
    """

    answer: EngineAnswer
    sent: int = 0
    tail: bytes = b''
    resumes: int = 0
    is_stream: bool = False

    def count_chunk(self, chunk: bytes) -> None:
        """Add a relayed chunk to the progress."""
        self.sent += len(chunk)
        if self.is_stream:
            tail = self.tail + chunk[-TAIL_BYTES:]
            self.tail = tail[-TAIL_BYTES:]

    @property
    def may_be_complete(self) -> bool:
        """Tell whether a body that ends here may be complete."""
        return not self.is_stream or STREAM_END in self.tail


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
    kind = answer.headers.get('content-type', '')
    return (
        run.attempt.model is not None
        and answer.status == HTTP_OK
        and kind.startswith('text/event-stream')
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
    if outcome.status != HTTP_OK or find_mismatch(run, outcome) is not None:
        await break_off(run)
        raise AnswerBrokenError(run.attempt.attempt)
    RESUMED.add(1)
    progress.answer = outcome


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
