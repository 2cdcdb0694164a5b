"""Switch the engine on a loader's host to downloaded versions."""

import asyncio
import logging
from typing import Final

from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.load_exchange import SwitchMessage
from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.engine_port import LoadOrderOutcome
from ragwortcourse.weights.loader_weights import LoaderWeights
from ragwortcourse.weights.stage_check import ensure_staged
from ragwortcourse.weights.switch_schedule import (
    SUCCESSOR_SECONDS,
    is_ready_to_switch,
    schedule_switch,
)

# Frequent polls are cheap because the engine is on the same host.
WATCH_SECONDS: Final = 0.2
LOADING_WATCH_SECONDS: Final = 0.05
# The switch notice takes some milliseconds to reach entry daemons, which stop
# sending requests when it arrives.
NOTICE_SECONDS: Final = 0.15
# Covers the order and the loading if the second notice is lost.
CLOSED_SECONDS: Final = 0.8
STARTED: Final = frozenset((LoadOrderOutcome.BEGUN, LoadOrderOutcome.IN_EFFECT))

LOGGER: Final = logging.getLogger(__name__)


async def switch_engine(loading: LoaderWeights) -> None:
    """Poll the engine forever and order it to load downloaded versions."""
    while True:
        loading.report = await loading.ports.engine.read_report()
        if not await _switch_once(loading):
            await asyncio.sleep(WATCH_SECONDS)


async def _switch_once(loading: LoaderWeights) -> bool:
    rules = loading.find_rules()
    if rules is None or loading.report is None or loading.report.busy:
        return False
    drawn = loading.find_downloaded(rules)
    if drawn is None or not await ensure_staged(loading.ports.engine, drawn):
        return False
    if loading.read_held(rules):
        await _await_turn(loading, rules, drawn)
        newest = await _await_successor(loading, rules, drawn)
        if newest is not drawn:
            drawn = newest
            if not await ensure_staged(loading.ports.engine, drawn):
                return False
    return await _order(loading, rules, drawn)


async def _await_turn(
    loading: LoaderWeights, rules: EngineProfile, drawn: VersionChunks
) -> None:
    """Wait for the engine's scheduled switch, then drain its requests."""
    version = drawn.manifest.version
    seen_at = min(
        named.seen_at
        for named in loading.list_named(rules)
        if named.version == version
    )
    targets = await loading.ports.list_service()
    turn = schedule_switch(
        engines=[target.address for target in targets],
        own=loading.loader.engine,
        time_left=seen_at
        + loading.fleet.version_ms / 1000
        - read_clock_with_suspend(),
    )
    await asyncio.sleep(turn.delay)
    await _announce(loading, CLOSED_SECONDS + turn.drain_seconds, 0)
    order_by = read_clock() + turn.drain_seconds
    await asyncio.sleep(NOTICE_SECONDS)
    while read_clock() < order_by and not await _is_ready(loading, rules):  # noqa: ASYNC110
        await asyncio.sleep(LOADING_WATCH_SECONDS)


async def _is_ready(loading: LoaderWeights, rules: EngineProfile) -> bool:
    report = await loading.ports.engine.read_report()
    if report is None:
        return True
    return is_ready_to_switch(running=report.running, slots=rules.slots)


async def _await_successor(
    loading: LoaderWeights, rules: EngineProfile, drawn: VersionChunks
) -> VersionChunks:
    """Return the version to load, after waiting for a nearly complete one."""
    newest = loading.list_named(rules)[-1].version
    is_near = (
        loading.estimate_download_seconds(rules, newest) <= SUCCESSOR_SECONDS
    )
    if newest > drawn.manifest.version and is_near:
        LOGGER.info(
            'waiting for a newer version that is nearly downloaded',
            extra={'version': newest, 'drawn': drawn.manifest.version},
        )
        await _announce(loading, CLOSED_SECONDS + SUCCESSOR_SECONDS, 0)
        give_up_at = read_clock() + SUCCESSOR_SECONDS
        while (  # noqa: ASYNC110
            read_clock() < give_up_at
            and loading.store.find_newest_whole() < newest
        ):
            await asyncio.sleep(LOADING_WATCH_SECONDS)
    return loading.find_downloaded(rules) or drawn


async def _order(
    loading: LoaderWeights, rules: EngineProfile, drawn: VersionChunks
) -> bool:
    """Order the engine to load a version; return whether loading began."""
    version = drawn.manifest.version
    outcome = await loading.ports.engine.order_load(rules.model, version)
    LOGGER.info(
        'engine answered the order to load a version',
        extra={
            'version': version,
            'outcome': outcome,
            'running': loading.report and loading.report.running,
        },
    )
    if outcome not in STARTED:
        return False
    began_at = read_clock()
    loading.report = await loading.ports.engine.read_report()
    while loading.report is not None and loading.report.busy:
        await asyncio.sleep(LOADING_WATCH_SECONDS)
        loading.report = await loading.ports.engine.read_report()
    held = loading.read_held(rules)
    await _announce(loading, 0, held)
    LOGGER.info(
        'engine finished loading a version',
        extra={
            'version': version,
            'held': held,
            'seconds': read_clock() - began_at,
        },
    )
    return True


async def _announce(
    loading: LoaderWeights, seconds: float, version: int
) -> None:
    await loading.ports.announce(
        SwitchMessage(
            address=loading.loader.engine, seconds=seconds, version=version
        )
    )
