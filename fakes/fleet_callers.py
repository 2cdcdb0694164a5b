"""Callers of a fleet of processes, with a record of the answers they got."""

import asyncio
import random
from typing import Final

import aiohttp
from aiohttp.client import _RequestContextManager

from fakes.callers import ANSWER_EVENTS, CallResult, Ending
from fakes.fleet import Fleet
from fakes.site_plan import API_KEY, MODEL, SERVICE
from ragwortcourse.clock import read_clock
from ragwortcourse.identifiers import RequestId
from ragwortcourse.messages import headers as names
from ragwortcourse.messages.outcome import OutcomeKind

# Deadline of a call as a share of its caller's time-out.
DEADLINE_SHARE: Final = 2 / 3
PAUSE_SECONDS: Final = 0.3
# A caller accepts the outcome "unknown" as final after this many sendings.
SENDINGS_FOR_UNKNOWN: Final = 5
HTTP_OK: Final = 200


class FleetCallers:
    """Sends calls to entry daemons and repeats each until its answer is final.

    :param patience: seconds after which a caller abandons an exchange and
        sends the call again.

    :ivar calls: results of the sendings of each call, in order.
    """

    def __init__(
        self, *, fleet: Fleet, rng: random.Random, patience: float
    ) -> None:
        self.calls: list[list[CallResult]] = []
        self._fleet = fleet
        self._rng = rng
        self._in_progress: set[asyncio.Task[CallResult]] = set()
        # Each sending opens its own connection: a daemon may close an idle
        # kept-alive connection just as the next request goes out.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=patience),
            headers={
                'Authorization': f'Bearer {API_KEY}',
                names.DEADLINE_MS: str(int(patience * DEADLINE_SHARE * 1000)),
            },
        )

    @property
    def results(self) -> list[CallResult]:
        """Results of all sendings of all calls."""
        return [result for sendings in self.calls for result in sendings]

    async def close(self) -> None:
        """Cancel calls in progress and close all connections."""
        for task in self._in_progress:
            task.cancel()
        await self._session.close()

    async def send_steadily(self, rate: float, charges: float = 0.4) -> None:
        """Start calls at random intervals until cancelled.

        :param rate: mean calls per second.
        :param charges: share of calls that may run at most once.
        """
        while True:
            await asyncio.sleep(self._rng.expovariate(rate))
            self.begin(is_charge=self._rng.random() < charges)

    def begin(self, *, is_charge: bool) -> asyncio.Task[CallResult]:
        """Start one call in the background."""
        key = f'key-{len(self.calls)}' if is_charge else None
        sendings: list[CallResult] = []
        self.calls.append(sendings)
        task = asyncio.ensure_future(self.send_until_final(sendings, key))
        self._in_progress.add(task)
        task.add_done_callback(self._in_progress.discard)
        return task

    async def wait_for_all(self) -> None:
        """Wait until every call has its final answer."""
        while self._in_progress:
            await asyncio.wait(self._in_progress)

    async def send(self, entry: str, key: str | None) -> CallResult:
        """Send one call once and return its result.

        :param key: idempotency key of a charge; none for a model call.
        """
        began = read_clock()
        ending, status, heads, body = await self._exchange(entry, key)
        if status not in {0, HTTP_OK} and ending is not Ending.DISCONNECTED:
            ending = Ending.ERROR
        outcome = heads.get(names.OUTCOME)
        return CallResult(
            request=RequestId(heads.get(names.REQUEST_ID, '')),
            entry=entry,
            ending=ending,
            began_at=began,
            ended_at=read_clock(),
            key=key,
            outcome=None if outcome is None else OutcomeKind(outcome),
            code=heads.get(names.ERROR_CODE, ''),
            version=heads.get(names.MODEL_VERSION),
            body=body,
        )

    async def send_until_final(
        self,
        sendings: list[CallResult],
        key: str | None,
        entry: str | None = None,
    ) -> CallResult:
        """Send one call until its answer is final and return that answer.

        :param sendings: results so far; results of new sendings are appended.
        :param entry: entry daemon to use; none for a random one per sending.
        """
        while True:
            any_entry = self._rng.choice(self._fleet.plan.entries).name
            result = await self.send(entry or any_entry, key)
            sendings.append(result)
            if is_final(result, len(sendings)):
                return result
            await asyncio.sleep(self._rng.uniform(0, 2 * PAUSE_SECONDS))

    async def _exchange(
        self, entry: str, key: str | None
    ) -> tuple[Ending, int, dict[str, str], bytes]:
        body = bytearray()
        heads: dict[str, str] = {}
        status = 0
        try:
            async with self._post(entry, key) as answer:
                status = answer.status
                heads = {
                    name.lower(): text for name, text in answer.headers.items()
                }
                async for chunk in answer.content.iter_any():
                    body += chunk
        except aiohttp.ClientConnectorError:
            # The connection failed, so no byte of the call was sent.
            return Ending.ERROR, 0, {names.OUTCOME: 'not_run'}, b''
        except (aiohttp.ClientError, TimeoutError):
            broken = b'event: error' in body
            ending = Ending.ERROR_EVENT if broken else Ending.DISCONNECTED
            return ending, status, heads, bytes(body)
        return Ending.COMPLETE, status, heads, bytes(body)

    def _post(self, entry: str, key: str | None) -> _RequestContextManager:
        base = f'http://{self._fleet.plan.listen[entry].callers}'
        if key is None:
            question = {
                'model': MODEL,
                'stream': True,
                'prompt': 'a renewal letter',
                'max_tokens': ANSWER_EVENTS,
            }
            return self._session.post(f'{base}/v1/completions', json=question)
        return self._session.post(
            f'{base}/services/{SERVICE}/charge',
            data=key.encode(),
            headers={'Idempotency-Key': key},
        )


def is_final(result: CallResult, sendings: int) -> bool:
    """Tell whether sending a call again cannot improve its answer.

    :param result: result of the last sending.
    :param sendings: number of sendings so far.
    """
    if (
        result.ending is Ending.COMPLETE
        or result.outcome is OutcomeKind.COMPLETED
    ):
        return True
    settled = result.key is not None and result.code == 'outcome_unknown'
    return settled and sendings >= SENDINGS_FOR_UNKNOWN
