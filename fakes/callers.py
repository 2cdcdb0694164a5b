"""Callers of a small in-process site, and records of their results."""

import asyncio
import dataclasses
import enum
import random
from typing import Final

from fakes.site import Site
from fakes.site_plan import API_KEY, MODEL, SERVICE
from fakes.wire import Host
from ragwortcourse.clock import read_clock
from ragwortcourse.entry.calls import serve_call
from ragwortcourse.entry.entry import EntryState
from ragwortcourse.identifiers import IdempotencyKey, RequestId
from ragwortcourse.messages.attempt import AnswerBrokenError
from ragwortcourse.messages.call import Call, CallError, CallOutcome
from ragwortcourse.messages.outcome import OutcomeKind

DEADLINE_SECONDS: Final = 10.0
ANSWER_EVENTS: Final = 8
RESEND_SECONDS: Final = 1.0


class Ending(enum.StrEnum):
    """How a call ended for its caller.

    ``COMPLETE``: a complete answer. ``ERROR``: an error with its outcome.
    ``ERROR_EVENT``: an answer that is truncated and marked as such.
    ``DISCONNECTED``: the entry daemon stopped and the connection closed with
    no result.
    """

    COMPLETE = 'whole'
    ERROR = 'error'
    ERROR_EVENT = 'broken'
    DISCONNECTED = 'cut'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallResult:
    """Result of one call.

    :param began_at: monotonic seconds, like all times here.
    :param first_at: time of the first body chunk; zero if none arrived.
    :param key: idempotency key of a charge; none for a model call.
    :param body: bytes that arrived.
    """

    request: RequestId
    entry: str
    ending: Ending
    began_at: float
    ended_at: float
    first_at: float = 0
    key: str | None = None
    outcome: OutcomeKind | None = None
    code: str = ''
    version: str | None = None
    body: bytes = b''
    retry_after: float | None = None


class Callers:
    """Sends calls to entry daemons through a stand-in load balancer."""

    def __init__(self, *, site: Site, rng: random.Random) -> None:
        self.site = site
        self.results: list[CallResult] = []
        self._rng = rng
        self._number = 0
        self._pending: set[asyncio.Task[CallResult]] = set()

    async def send_steadily(
        self, *, rate: float, seconds: float, charges: float = 0.3
    ) -> None:
        """Start calls at a rate; return without waiting for their results.

        :param rate: average calls per second; intervals are exponential.
        :param seconds: how long new calls are started.
        :param charges: share of calls that may run at most once.
        """
        end = read_clock() + seconds
        while True:
            await asyncio.sleep(self._rng.expovariate(rate))
            if read_clock() >= end:
                return
            self.begin(is_charge=self._rng.random() < charges)

    def begin(self, *, is_charge: bool) -> asyncio.Task[CallResult]:
        """Start one call in the background."""
        task = asyncio.ensure_future(self.send(is_charge=is_charge))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)
        return task

    async def wait_for_all(self) -> None:
        """Wait until every background call has ended."""
        while self._pending:
            await asyncio.wait(self._pending)

    async def send(
        self,
        *,
        is_charge: bool,
        entry: str | None = None,
        key: str | None = None,
        body: bytes | None = None,
    ) -> CallResult:
        """Send one call and record its result.

        :param entry: entry daemon to call; a random ready one if none.
        :param key: idempotency key of a charge; a new one if none.
        :param body: request body; a default one if none.
        """
        self._number += 1
        name = entry or self._pick_ready_entry()
        if is_charge and key is None:
            key = f'key-{self._number}'
        request = RequestId(f'{name}-{self._number}')
        call = make_call(request, key, body)
        result = await self._read_result(name, call, key)
        self.results.append(result)
        return result

    def _pick_ready_entry(self) -> str:
        """Pick a random ready entry daemon; any one where none is ready."""
        ready = [
            name
            for name, resident in self.site.residents.items()
            if resident.entry is not None
            and resident.host.alive
            and resident.host.thawed.is_set()
            and resident.entry.find_unready_reason() is None
        ]
        return self._rng.choice(ready or list(self.site.plan.entries))

    async def _read_result(
        self, name: str, call: Call, key: str | None
    ) -> CallResult:
        resident = self.site.residents[name]
        if resident.entry is None:
            raise TypeError(f'{name} is not an entry daemon')
        began = read_clock()
        work = resident.host.spawn(
            read_outcome(resident.host, resident.entry.entry, call)
        )
        await asyncio.wait([work])
        base = CallResult(
            request=call.request,
            entry=name,
            ending=Ending.DISCONNECTED,
            began_at=began,
            ended_at=read_clock(),
            key=key,
        )
        if work.cancelled():
            return base
        outcome, partial = work.result()
        ending = partial.ending
        if isinstance(outcome, CallError):
            return dataclasses.replace(
                base,
                ending=ending,
                outcome=outcome.error.outcome,
                code=outcome.error.code,
                retry_after=outcome.error.retry_after,
            )
        return dataclasses.replace(
            base,
            ending=ending,
            body=bytes(partial.body),
            first_at=partial.first_at,
            version=outcome.version,
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class PartialAnswer:
    """The part of an answer that a caller has read so far."""

    ending: Ending = Ending.COMPLETE
    body: bytearray = dataclasses.field(default_factory=bytearray)
    first_at: float = 0


async def read_outcome(
    host: Host, entry: EntryState, call: Call
) -> tuple[CallOutcome, PartialAnswer]:
    """Serve a call on the host of an entry daemon and read the answer."""
    partial = PartialAnswer()
    await host.thawed.wait()
    outcome = await serve_call(entry, call)
    if isinstance(outcome, CallError):
        partial.ending = Ending.ERROR
        return outcome, partial
    try:
        async for chunk in outcome.body:
            await host.thawed.wait()
            partial.first_at = partial.first_at or read_clock()
            partial.body += chunk
    except AnswerBrokenError:
        partial.ending = Ending.ERROR_EVENT
    return outcome, partial


def make_call(
    request: RequestId, key: str | None, body: bytes | None = None
) -> Call:
    """Make a charge if there is a key, else a streamed model call."""
    if key is None:
        prompt = f'"prompt":"{request}","max_tokens":{ANSWER_EVENTS}'
        return Call(
            request=request,
            api_key=API_KEY,
            deployment=None,
            method='POST',
            path='/v1/completions',
            headers={'content-type': 'application/json'},
            body=body
            or f'{{"model":"{MODEL}","stream":true,{prompt}}}'.encode(),
            time_left=DEADLINE_SECONDS,
        )
    return Call(
        request=request,
        api_key=API_KEY,
        deployment=SERVICE,
        method='POST',
        path='/charge',
        headers={'idempotency-key': key},
        body=body or key.encode(),
        time_left=DEADLINE_SECONDS,
        idempotency_key=IdempotencyKey(key),
    )
