"""Switch the engine on a loader's host to downloaded versions."""

import asyncio
import logging
from typing import Final

from ragwortcourse.clock import read_clock, read_clock_with_suspend
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.load_messages import (
    SwitchMessage,
)
from ragwortcourse.weights.chunk_store import VersionChunks
from ragwortcourse.weights.engine_port import LoadOrderOutcome
from ragwortcourse.weights.loader_weights import LoaderWeights
from ragwortcourse.weights.stage_inspection import inspect_stage
from ragwortcourse.weights.switch_schedule import (
    SUCCESSOR_SECONDS,
    is_ready_to_switch,
    schedule_switch,
)
from ragwortcourse.weights.unanswered_order import holds_version

# Frequent polls are cheap because the engine is on the same host.
WATCH_SECONDS: Final = 0.2
LOADING_WATCH_SECONDS: Final = 0.05
# Between two checks for a late write; each reads all staged chunks.
LATE_WRITE_WATCH_SECONDS: Final = 1.0
# The switch notice takes some milliseconds to reach entry daemons, which stop
# sending requests when it arrives.
NOTICE_SECONDS: Final = 0.15
# Covers the order and the loading if the second notice is lost.
CLOSED_SECONDS: Final = 0.8
# Longest time from the beginning of the check to the order. An engine that
# accepts the order within the call's time limit loads chunks that were right
# less than 3 s before.
LONGEST_CHECK_SECONDS: Final = 1.5

LOGGER: Final = logging.getLogger(__name__)


async def switch_engine(loader_weights: LoaderWeights) -> None:
    """Poll the engine forever and order it to load downloaded versions."""
    while True:
        loader_weights.report = await loader_weights.ports.engine.read_report()
        if loader_weights.report is None:
            loader_weights.stage.note_silent()
        if not await _switch_once(loader_weights):
            await asyncio.sleep(WATCH_SECONDS)


async def _switch_once(loader_weights: LoaderWeights) -> bool:
    """Take the next step to the newest downloaded version, if there is one.

    :return: whether loading began.
    """
    rules, report = loader_weights.find_rules(), loader_weights.report
    if rules is None or report is None or report.busy:
        return False
    stage = loader_weights.stage
    stage.settle(report)
    held = loader_weights.read_held(rules)
    if loader_weights.list_named(rules)[-1].version > held:
        await inspect_stage(loader_weights, rules, report)
    if stage.open_order is not None:
        # An order of a model that the service no longer has is not repeated.
        is_own = stage.open_order.chunks.manifest.model == rules.model
        if not is_own or holds_version(report, stage.open_order):
            return False
        await _announce(loader_weights, rules, CLOSED_SECONDS)
        return await _order(loader_weights, rules, stage.open_order.chunks)
    downloaded = loader_weights.find_downloaded(rules)
    if downloaded is None or not stage.is_inspected:
        return False
    # Most chunks that differ are staged before the turn.
    check = await stage.ensure_staged(downloaded)
    if check.failed:
        return False
    if stage.awaits_late_write(downloaded):
        # The engine serves requests until the order can go out.
        await asyncio.sleep(LATE_WRITE_WATCH_SECONDS)
        return False
    if held:
        await _await_turn(loader_weights, rules, downloaded)
        downloaded = await _await_successor(loader_weights, rules, downloaded)
    return await _order(loader_weights, rules, downloaded)


async def _await_turn(
    loader_weights: LoaderWeights,
    rules: EngineProfile,
    downloaded: VersionChunks,
) -> None:
    """Wait for the engine's scheduled switch, then drain its requests."""
    version = downloaded.manifest.version
    held = loader_weights.read_held(rules)
    # The held version expires with the first newer one, not with this one.
    seen_at = min(
        named.seen_at
        for named in loader_weights.list_named(rules)
        if held < named.version <= version
    )
    targets = await loader_weights.ports.list_service()
    schedule = schedule_switch(
        engines=[target.address for target in targets],
        own=loader_weights.loader.engine,
        time_left=seen_at
        + loader_weights.fleet.version_ms / 1000
        - read_clock_with_suspend(),
    )
    await asyncio.sleep(schedule.delay)
    await _announce(
        loader_weights, rules, CLOSED_SECONDS + schedule.drain_seconds
    )
    order_by = read_clock() + schedule.drain_seconds
    await asyncio.sleep(NOTICE_SECONDS)
    while read_clock() < order_by and not await _is_ready(  # noqa: ASYNC110
        loader_weights, rules
    ):
        await asyncio.sleep(LOADING_WATCH_SECONDS)


async def _is_ready(
    loader_weights: LoaderWeights, rules: EngineProfile
) -> bool:
    report = await loader_weights.ports.engine.read_report()
    if report is None:
        return True
    return is_ready_to_switch(running=report.running, slots=rules.slots)


async def _await_successor(
    loader_weights: LoaderWeights,
    rules: EngineProfile,
    downloaded: VersionChunks,
) -> VersionChunks:
    """Return the version to load, after waiting for a nearly complete one."""
    newest = loader_weights.list_named(rules)[-1].version
    is_near = (
        loader_weights.estimate_download_seconds(rules, newest)
        <= SUCCESSOR_SECONDS
    )
    if newest > downloaded.manifest.version and is_near:
        LOGGER.info(
            'waiting for a newer version that is nearly downloaded',
            extra={
                'model': rules.model,
                'version': newest,
                'drawn': downloaded.manifest.version,
            },
        )
        await _announce(
            loader_weights, rules, CLOSED_SECONDS + SUCCESSOR_SECONDS
        )
        give_up_at = read_clock() + SUCCESSOR_SECONDS
        while (  # noqa: ASYNC110
            read_clock() < give_up_at
            and loader_weights.store.find_newest_whole(rules.model) < newest
        ):
            await asyncio.sleep(LOADING_WATCH_SECONDS)
    return loader_weights.find_downloaded(rules) or downloaded


async def _order(
    loader_weights: LoaderWeights,
    rules: EngineProfile,
    downloaded: VersionChunks,
) -> bool:
    """Order the engine to load a version; return whether loading began."""
    with loader_weights.stage.reserve():
        outcome = await _check_and_order(loader_weights, downloaded)
    if outcome is not LoadOrderOutcome.BEGUN:
        return False
    began_at = read_clock()
    loader_weights.report = await loader_weights.ports.engine.read_report()
    while loader_weights.report is not None and loader_weights.report.busy:
        await asyncio.sleep(LOADING_WATCH_SECONDS)
        loader_weights.report = await loader_weights.ports.engine.read_report()
    held = loader_weights.read_held(rules)
    await _announce(loader_weights, rules, 0, held)
    LOGGER.info(
        'engine finished loading a version',
        extra={
            'model': downloaded.manifest.model,
            'version': downloaded.manifest.version,
            'held': held,
            'seconds': read_clock() - began_at,
        },
    )
    return True


async def _check_and_order(
    loader_weights: LoaderWeights, downloaded: VersionChunks
) -> LoadOrderOutcome | None:
    """Compare all staged chunks, then send the order.

    :return: None if no order was sent.
    """
    report = await loader_weights.ports.engine.read_report()
    if report is None or report.busy:
        return None
    check = await loader_weights.stage.ensure_staged(downloaded)
    check_age = check.age
    outcome = None
    is_whole = not check.failed and check_age <= LONGEST_CHECK_SECONDS
    if is_whole and not loader_weights.stage.awaits_late_write(downloaded):
        outcome = await loader_weights.stage.order_load(
            downloaded, report.orders
        )
    LOGGER.info(
        'order to load a version ended',
        extra={
            'model': downloaded.manifest.model,
            'version': downloaded.manifest.version,
            'outcome': outcome or 'not sent',
            'running': report.running,
            'orders': report.orders,
            'check_age': check_age,
            'restaged': check.restaged,
            'not_staged': check.failed,
        },
    )
    return outcome


async def _announce(
    loader_weights: LoaderWeights,
    rules: EngineProfile,
    seconds: float,
    version: int = 0,
) -> None:
    await loader_weights.ports.announce(
        SwitchMessage(
            address=loader_weights.loader.engine,
            seconds=seconds,
            model=rules.model,
            version=version,
        )
    )
