"""Client of the model engine on the loader's host, in the platform's format."""

import asyncio
import logging
from typing import Final

import aiohttp
import msgspec

from ragwortcourse.bodies import LARGE_BODY_BYTES, read_body
from ragwortcourse.bounded import Count, WholeNumber
from ragwortcourse.decoding import decode_json
from ragwortcourse.identifiers import ModelName
from ragwortcourse.platform.kept_reads import KeptReads
from ragwortcourse.platform.target_rows import (
    WireHeldModel,
    WireLayers,
    decode_layers,
)
from ragwortcourse.unreadable import UnreadableError
from ragwortcourse.weights.engine_port import EngineReport, LoadOrderOutcome

# The engine is on the same host and answers at once unless it is down.
CALL_SECONDS: Final = 1.0
# Aborts running requests at once; streams resume on other engines.
SWITCH_MODE: Final = 'truncate'
ACCEPTED: Final = 202
OK: Final = 200
CONFLICT: Final = 409

LOGGER: Final = logging.getLogger(__name__)


class WireReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of an engine, some hundred milliseconds old.

    :param busy: true while an order is in progress.
    :param seq: number of orders accepted.
    :param born: start of this incarnation, milliseconds since the epoch.
    """

    busy: bool = False
    running: Count = 0
    seq: WholeNumber | None = None
    born: WholeNumber = 0
    layers: WireLayers | None = None
    models: list[WireHeldModel] = []


class WireHeld(msgspec.Struct, kw_only=True):
    """Indexes of the staged chunks."""

    held: list[Count] = []


class Engine:
    """Client of one engine.

    No method raises when the engine does not answer. An engine may send a
    second copy of an answer late, at the place of the next answer on that
    connection, and its answers do not name their requests.

    :param session: session that uses no connection twice, for orders and
        writes: a copy of another answer would pass for theirs.
    :param reads: sessions for reads of staged chunks, which their readers
        compare or check by digest; none to use ``session``.
    :param reports: session of the reports. A copy of a report is a report;
        each new connection may hold a slot of the engine, several times a
        second.
    :param address: ``ip:port``.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        reports: aiohttp.ClientSession,
        address: str,
        reads: KeptReads | None = None,
    ) -> None:
        self._session = session
        self._reads = reads
        self._reports = reports
        self._base = f'http://{address}'

    async def read_report(self) -> EngineReport | None:
        """Read the state of the engine; None if it does not answer."""
        answer = await self._call('GET', '/report', session=self._reports)
        if answer is None or answer[0] != OK:
            return None
        try:
            wire = decode_json(answer[1], WireReport)
        except UnreadableError as error:
            # The next report follows within a second.
            LOGGER.info(
                'unreadable report of the engine', extra={'detail': str(error)}
            )
            return None
        return EngineReport(
            busy=wire.busy,
            running=wire.running,
            weights=decode_layers(wire.layers, wire.models),
            orders=wire.seq,
            born=wire.born,
        )

    async def list_staged(self, model: ModelName) -> frozenset[int] | None:
        """List the indexes of staged chunks; None without an answer."""
        answer = await self._call('GET', f'/stage-get/{model}')
        if answer is None:
            return None
        if answer[0] != OK:
            return frozenset()
        try:
            held = decode_json(answer[1], WireHeld).held
        except UnreadableError as error:
            # With an empty result every chunk is downloaded and staged again.
            LOGGER.info(
                'unreadable list of the chunks of the engine',
                extra={'model': model, 'detail': str(error)},
            )
            return frozenset()
        return frozenset(held)

    async def read_staged(self, model: ModelName, index: int) -> bytes | None:
        """Read a staged chunk without verification; None if not staged."""
        path = f'/stage-get/{model}?num={index}'
        if self._reads is None:
            answer = await self._call('GET', path)
        else:
            async with self._reads.use(path) as session:
                answer = await self._call('GET', path, session=session)
        return answer[1] if answer is not None and answer[0] == OK else None

    async def write_staged(
        self, model: ModelName, index: int, content: bytes
    ) -> bool:
        """Stage a chunk, replacing any present; return if it was taken."""
        answer = await self._call(
            'PUT', f'/stage-put/{model}?num={index}', content
        )
        return answer is not None and answer[0] < CONFLICT // 100 * 100

    async def order_load(
        self, model: ModelName, version: int, expected_orders: int | None
    ) -> LoadOrderOutcome:
        """Order the engine to load what is staged when it accepts the order.

        :param expected_orders: number of orders that the engine has to have
            accepted before; None for any.
        """
        order: dict[str, str | int] = {
            'op': 'start',
            'model': model,
            'version': version,
            'switch_mode': SWITCH_MODE,
        }
        if expected_orders is not None:
            order['expected_rev'] = expected_orders
        answer = await self._call('POST', '/order', msgspec.json.encode(order))
        outcomes = {
            ACCEPTED: LoadOrderOutcome.BEGUN,
            OK: LoadOrderOutcome.IN_EFFECT,
            CONFLICT: LoadOrderOutcome.CONFLICT,
        }
        if answer is None:
            return LoadOrderOutcome.UNANSWERED
        return outcomes.get(answer[0], LoadOrderOutcome.FAILED)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        *,
        session: aiohttp.ClientSession | None = None,
    ) -> tuple[int, bytes] | None:
        """Return status and body; None if the engine does not answer."""
        headers = {'Content-Type': 'application/json'}
        try:
            async with (
                asyncio.timeout(CALL_SECONDS),
                (session or self._session).request(
                    method, f'{self._base}{path}', data=body, headers=headers
                ) as response,
            ):
                return response.status, await read_body(
                    response, limit=LARGE_BODY_BYTES
                )
        except (aiohttp.ClientError, OSError, TimeoutError):
            # The loader monitors the state of the engine by itself.
            return None
