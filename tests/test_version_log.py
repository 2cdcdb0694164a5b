"""Tests of :mod:`ragwortcourse.forwarding.version_log`."""

import asyncio
import dataclasses
import logging

import pytest
from multidict import CIMultiDict

from fakes.fleet_parts import MODEL, make_forwarder, make_state, make_target
from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.forwarding.answer_head import AnswerHead
from ragwortcourse.forwarding.named_weights import AnnouncedVersion
from ragwortcourse.forwarding.version_log import (
    RequiredVersionLog,
    describe_version,
    warn_expired,
)
from ragwortcourse.forwarding.version_source import VersionSource

pytestmark = pytest.mark.looptime
ENGINE = make_target('t-0')
ANSWER = AnswerHead(
    status=200,
    ran=True,
    genuine=True,
    load=None,
    cold_seconds=None,
    version=1,
    headers=CIMultiDict(),
)
CHANGED = 'lowest version that requests may begin on changed'
EXPIRED = 'request began on expired weights'


def announce(seconds_ago: float, **fields: object):
    """Build a forwarder that knows of version 2."""
    forwarder = make_forwarder(make_state(ENGINE), None)
    seen_at = read_clock_with_suspend() - seconds_ago
    named = AnnouncedVersion(version=2, seen_at=seen_at, **fields)
    forwarder.state.weights[MODEL] = (named,)
    return forwarder


def list_lines(caplog, message: str):
    """List the log records with a message."""
    return [each for each in caplog.records if each.message == message]


class TestRequiredVersionLog:
    """Lines about the lowest version that requests may begin on."""

    async def test_hypotheses_are_told_apart(self, caplog):
        """The line tells who dated the version, and the last outage."""
        caplog.set_level(logging.INFO)
        forwarder = announce(7.0, told_by='e2')
        forwarder.state.store_outage_at = read_clock_with_suspend() - 30
        log = RequiredVersionLog(forwarder=forwarder)
        log.note_round()
        assert not list_lines(caplog, CHANGED)
        await asyncio.sleep(0.3)
        log.note_round()
        log.note_round()
        (line,) = list_lines(caplog, CHANGED)
        assert (line.version, line.before) == (2, 0)
        assert line.told_by == 'e2'
        assert line.observed
        assert line.named_seconds_ago == pytest.approx(7.3, abs=0.02)
        assert line.outage_seconds_ago == pytest.approx(30.3, abs=0.02)

    async def test_no_outage(self, caplog):
        """Lines stay JSON where no outage was ever seen."""
        caplog.set_level(logging.INFO)
        RequiredVersionLog(forwarder=announce(9.0)).note_round()
        (line,) = list_lines(caplog, CHANGED)
        assert line.outage_seconds_ago is None

    async def test_bound_that_moves_back(self, caplog):
        """A line says that requests may begin on older versions again."""
        caplog.set_level(logging.INFO)
        forwarder = announce(9.0)
        log = RequiredVersionLog(forwarder=forwarder)
        log.note_round()
        forwarder.state.store_outage_at = read_clock_with_suspend()
        log.note_round()
        lines = list_lines(caplog, CHANGED)
        assert [line.version for line in lines] == [2, 0]


class TestWarnExpired:
    """Answers on weights older than requests may begin on."""

    async def test_expired(self, caplog):
        """The line tells what was believed of the target, and by whom."""
        forwarder = announce(8.5)
        load = forwarder.find_load(ENGINE)
        load.stated_version.note_loader(3, read_clock_with_suspend())
        warn_expired(forwarder, ENGINE, ANSWER)
        (line,) = list_lines(caplog, EXPIRED)
        assert (line.version, line.version_held) == (1, 3)
        assert line.version_stated_by == VersionSource.LOADER

    @pytest.mark.parametrize(
        ('seconds_ago', 'version'), [(8.1, 1), (8.5, 2), (8.5, None)]
    )
    async def test_in_time(self, caplog, seconds_ago, version):
        """An answer may be on its way at the bound."""
        answer = dataclasses.replace(ANSWER, version=version)
        warn_expired(announce(seconds_ago), ENGINE, answer)
        assert not list_lines(caplog, EXPIRED)


class TestDescribeVersion:
    """Fields of the lines about tries."""

    async def test_engine(self):
        """Held and required versions stand side by side."""
        fields = describe_version(announce(9.0), ENGINE)
        assert fields['version_held'] == 1
        assert fields['version_required'] == 2

    async def test_plain_target(self):
        """A target without weights has no such fields."""
        plain = dataclasses.replace(ENGINE, service='other')
        assert not describe_version(announce(9.0), plain)
