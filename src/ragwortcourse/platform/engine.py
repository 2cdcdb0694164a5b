"""The model engine beside a loader, on the platform's wire."""

import asyncio
from typing import Final

import aiohttp
import msgspec

from ragwortcourse.identifiers import ModelName
from ragwortcourse.platform.target_rows import WireLayers, decode_layers
from ragwortcourse.weights.engine_port import EngineReport, LoadOrderOutcome

# The engine is on the same host; it answers at once unless it is down.
CALL_SECONDS: Final = 1.0
# Ends what runs at once; streams go on at other engines.
SWITCH_MODE: Final = 'truncate'
BEGUN: Final = 202
OK: Final = 200
UNFIT: Final = 409


class WireReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of an engine, as of some hundred milliseconds ago.

    :param busy: true while an order is in progress.
    """

    busy: bool = False
    running: int = 0
    layers: WireLayers | None = None


class WireHeld(msgspec.Struct, kw_only=True):
    """Numbers of the chunks that are staged."""

    held: list[int] = []


class Engine:
    """Calls of one engine; none of them raises where it does not answer.

    :param address: ``ip:port``.
    """

    def __init__(self, *, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._base = f'http://{address}'

    async def read_report(self) -> EngineReport | None:
        """Its state; none where it does not answer."""
        answer = await self._call('GET', '/report')
        if answer is None or answer[0] != OK:
            return None
        try:
            wire = msgspec.json.decode(answer[1], type=WireReport)
        except msgspec.DecodeError:
            # The next report replaces it within a second.
            return None
        return EngineReport(
            busy=wire.busy,
            running=wire.running,
            weights=decode_layers(wire.layers),
        )

    async def list_staged(self, model: ModelName) -> frozenset[int]:
        """Chunks that are staged, whatever their version."""
        answer = await self._call('GET', f'/stage-get/{model}')
        if answer is None or answer[0] != OK:
            return frozenset()
        try:
            held = msgspec.json.decode(answer[1], type=WireHeld).held
        except msgspec.DecodeError:
            # Read as nothing: every chunk is then drawn and staged anew.
            return frozenset()
        return frozenset(held)

    async def read_staged(self, model: ModelName, index: int) -> bytes | None:
        """Bytes of a staged chunk, unchecked; none where there are none."""
        answer = await self._call('GET', f'/stage-get/{model}?num={index}')
        return answer[1] if answer is not None and answer[0] == OK else None

    async def write_staged(
        self, model: ModelName, index: int, content: bytes
    ) -> bool:
        """Stage a chunk over whatever is there; say whether it was taken."""
        answer = await self._call(
            'PUT', f'/stage-put/{model}?num={index}', content
        )
        return answer is not None and answer[0] < UNFIT // 100 * 100

    async def order_load(
        self, model: ModelName, version: int
    ) -> LoadOrderOutcome:
        """Have it load what is staged now."""
        order = {
            'op': 'start',
            'model': model,
            'version': version,
            'switch_mode': SWITCH_MODE,
        }
        answer = await self._call('POST', '/order', msgspec.json.encode(order))
        outcomes = {
            BEGUN: LoadOrderOutcome.BEGUN,
            OK: LoadOrderOutcome.IN_EFFECT,
            UNFIT: LoadOrderOutcome.UNFIT,
        }
        if answer is None:
            return LoadOrderOutcome.FAILED
        return outcomes.get(answer[0], LoadOrderOutcome.FAILED)

    async def _call(
        self, method: str, path: str, body: bytes | None = None
    ) -> tuple[int, bytes] | None:
        """Status and body; none where the engine does not answer."""
        headers = {'Content-Type': 'application/json'}
        try:
            async with (
                asyncio.timeout(CALL_SECONDS),
                self._session.request(
                    method, f'{self._base}{path}', data=body, headers=headers
                ) as response,
            ):
                return response.status, await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            # An engine that is down is seen by its loader's own watch.
            return None
