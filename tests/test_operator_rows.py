"""Tests of :mod:`ragwortcourse.platform.operator_rows`."""

import asyncio
import json
import math

import pytest

from fakes.fleet_parts import FLEET, MODEL, NEAR_DOMAIN, make_version_row
from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.platform import names
from ragwortcourse.platform.operator_rows import (
    GAP_SECONDS,
    REGAIN_SECONDS,
    START_SECONDS,
    build_operator_handler,
)
from ragwortcourse.platform.store_row import StoreRow

pytestmark = pytest.mark.looptime
# Assumed age of a version found at the start. The version becomes due when
# the bounds apply to the daemon, ``contact_ms`` later.
UNREAD = (FLEET.version_ms - FLEET.contact_ms) / 1000
DEEP = b'[' * 100_000 + b']' * 100_000
STATE = {'version': 3, 'routes': [], 'services': [{'name': 'plain'}]}


class TestNamings:
    """Times at which versions are assumed to have been announced."""

    async def test_first_reading_late(self):
        """A version found at the start is dated before the process start."""
        state = FleetState()
        reader = build_operator_handler(state, FLEET)
        started_at = read_clock_with_suspend()
        await asyncio.sleep(2)
        reader.replace((make_version_row(2),), math.inf)
        (found,) = state.weights[MODEL]
        assert not found.observed
        assumed = started_at - START_SECONDS - UNREAD
        assert found.seen_at == pytest.approx(assumed, abs=0.01)
        assert state.versions_complete_since == pytest.approx(
            read_clock_with_suspend(), abs=0.01
        )

    async def test_whole_table_again(self):
        """A full read without a gap gives the time of a new version."""
        state = FleetState()
        reader = build_operator_handler(state, FLEET)
        reader.replace((), math.inf)
        since = state.versions_complete_since
        await asyncio.sleep(20)
        reader.replace((make_version_row(2),), GAP_SECONDS)
        (found,) = state.weights[MODEL]
        assert found.observed
        assert found.seen_at == pytest.approx(
            read_clock_with_suspend() - GAP_SECONDS, abs=0.01
        )
        assert state.versions_complete_since == since

    @pytest.mark.parametrize('age', [0, GAP_SECONDS, 60])
    async def test_known_version_found_again(self, age):
        """A full read does not change the time of a known version.

        Otherwise the time of the read would replace the time assumed at the
        start, and move the bound of the version.
        """
        state = FleetState()
        reader = build_operator_handler(state, FLEET)
        reader.replace((make_version_row(2),), math.inf)
        before = state.weights[MODEL]
        await asyncio.sleep(20)
        reader.replace((make_version_row(2),), age)
        assert state.weights[MODEL] == before

    @pytest.mark.parametrize('whole', [True, False])
    @pytest.mark.parametrize('gap', [GAP_SECONDS + 0.1, 60])
    async def test_gap(self, whole, gap):
        """After a gap versions may be missing, so the time is assumed."""
        state = FleetState()
        reader = build_operator_handler(state, FLEET)
        reader.replace((), math.inf)
        await asyncio.sleep(gap)
        if whole:
            reader.replace((make_version_row(2),), gap)
        else:
            reader.change((make_version_row(2),), gap, gap)
        (found,) = state.weights[MODEL]
        assert not found.observed
        assumed = min(gap, REGAIN_SECONDS + UNREAD)
        assert found.seen_at == pytest.approx(
            read_clock_with_suspend() - assumed, abs=0.01
        )
        assert state.versions_complete_since == pytest.approx(
            read_clock_with_suspend(), abs=0.01
        )


def make_deep_row(key: str, content: dict[str, object]) -> StoreRow:
    """Build a row with one more part, which is nested deeply."""
    text = json.dumps(content).encode()
    return StoreRow(key=key, content=b'{"other":%s,%s' % (DEEP, text[1:]))


class TestOddRows:
    """Rows that are not those of operators."""

    @pytest.mark.parametrize(
        'row',
        [
            make_deep_row(names.DESIRED_KEY, {**STATE, 'version': 4}),
            make_deep_row(
                f'{names.VERSION_PREFIX}{MODEL}',
                {'model': MODEL, 'version': 3},
            ),
        ],
    )
    async def test_deeply_nested_row_ends_the_daemon(self, row, caplog):
        """The last good content stays in force, and other rows are applied."""
        state = FleetState()
        reader = build_operator_handler(state, FLEET)
        good = StoreRow(
            key=names.DESIRED_KEY, content=json.dumps(STATE).encode()
        )
        reader.replace((good, make_version_row(2)), math.inf)
        withdrawn = StoreRow(
            key=f'{names.EVACUATION_PREFIX}{NEAR_DOMAIN}', content=b'{}'
        )
        reader.change((row, withdrawn), 0, 0)
        assert state.desired.version == 3
        assert state.weights[MODEL][-1].version == 2
        assert state.withdrawn == {NEAR_DOMAIN}
        (record,) = [
            each for each in caplog.records if 'unreadable' in each.message
        ]
        assert record.row == row.key

    @pytest.mark.parametrize('version', [-1, 10**399])
    async def test_meaningless_version(self, version, caplog):
        """A version of weights that none can have is passed over."""
        state = FleetState()
        reader = build_operator_handler(state, FLEET)
        reader.replace((make_version_row(2),), math.inf)
        reader.change((make_version_row(version),), 0, 0)
        assert state.weights[MODEL][-1].version == 2
        assert 'unreadable' in caplog.text

    async def test_good_again(self):
        """The next good desired state is applied."""
        state = FleetState()
        reader = build_operator_handler(state, FLEET)
        reader.replace((make_deep_row(names.DESIRED_KEY, STATE),), math.inf)
        assert state.desired is None
        content = json.dumps({**STATE, 'version': 4}).encode()
        reader.change((StoreRow(key=names.DESIRED_KEY, content=content),), 0, 0)
        assert state.desired.version == 4
