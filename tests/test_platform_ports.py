"""Contract of the platform's ports, for HTTP adapters and fakes."""

import dataclasses
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import test_utils

from fakes.faults import Fault
from fakes.memory_hosts import build_memory_hosts
from fakes.memory_objects import build_memory_objects
from fakes.memory_table import build_memory_table
from fakes.platform import build_platform_app
from fakes.platform_state import Platform
from ragwortcourse.identifiers import DaemonId, FailureDomainName, HostName
from ragwortcourse.membership.hosts import (
    HostListPort,
    HostRecord,
    HostRole,
    HostsListed,
    HostsUnavailable,
)
from ragwortcourse.membership.http_hosts import build_http_hosts
from ragwortcourse.storage.http_objects import build_http_objects
from ragwortcourse.storage.http_table import build_http_table
from ragwortcourse.storage.objects import (
    ObjectFailed,
    ObjectName,
    ObjectRead,
    ObjectStore,
    ObjectWritten,
)
from ragwortcourse.storage.table import (
    ABSENT_VERSION,
    Committed,
    CommitUnknown,
    ConditionalWrite,
    ConditionFailed,
    NotCommitted,
    ReadFailed,
    RowRead,
    TableKey,
    TableService,
)

KEY = TableKey('a/b c')
FAILURES = [fault for fault in Fault if fault is not Fault.SLOW]
NAME = ObjectName('some/object 1')


@dataclasses.dataclass(kw_only=True)
class Ports:
    """Ports under test and the fake platform behind them."""

    platform: Platform
    table: TableService
    objects: ObjectStore
    hosts: HostListPort


def build_memory_ports(platform: Platform) -> Ports:
    """Build ports that access the fake platform in memory."""
    return Ports(
        platform=platform,
        table=build_memory_table(
            rows=platform.rows, faults=platform.table_faults
        ),
        objects=build_memory_objects(
            objects=platform.objects, faults=platform.object_faults
        ),
        hosts=build_memory_hosts(
            records=platform.records, faults=platform.host_faults
        ),
    )


@pytest.fixture(params=['memory', 'http'])
async def ports(request: pytest.FixtureRequest) -> AsyncIterator[Ports]:
    """Provide the ports in memory and over HTTP."""
    platform = Platform()
    if request.param == 'memory':
        yield build_memory_ports(platform)
        return
    server = test_utils.TestServer(build_platform_app(platform))
    await server.start_server()
    base = str(server.make_url('')).rstrip('/')
    async with aiohttp.ClientSession() as session:
        yield Ports(
            platform=platform,
            table=build_http_table(session=session, base_url=f'{base}/table'),
            objects=build_http_objects(
                session=session, base_url=f'{base}/objects'
            ),
            hosts=build_http_hosts(session=session, base_url=f'{base}/hosts'),
        )
    await server.close()


def write(
    content: bytes | None, expected: int | None, key: TableKey = KEY
) -> ConditionalWrite:
    """Make a conditional write."""
    return ConditionalWrite(key=key, content=content, expected_version=expected)


class TestTableService:
    """Rows, conditions and effects of faults."""

    async def test_all_writes_or_none(self, ports: Ports):
        """A transaction with one failed condition changes nothing."""
        other = TableKey('other')
        assert await ports.table.commit((write(b'\xff1', ABSENT_VERSION),)) == (
            Committed()
        )
        outcome = await ports.table.commit(
            (
                write(b'x', None, other),
                write(b'2', ABSENT_VERSION),
            )
        )
        assert isinstance(outcome, ConditionFailed)
        assert outcome.keys == (KEY,)
        assert outcome.rows[0].content == b'\xff1'
        assert await ports.table.read(other) == RowRead(row=None)
        assert await ports.table.commit((write(None, 1),)) == Committed()
        assert await ports.table.read(KEY) == RowRead(row=None)

    @pytest.mark.parametrize(
        ('fault', 'kind', 'effect'),
        [
            (Fault.REFUSED, NotCommitted, False),
            (Fault.SLOW, Committed, True),
            (Fault.ANSWER_LOST, CommitUnknown, True),
            (Fault.TRUNCATED, CommitUnknown, True),
            (Fault.GARBAGE, CommitUnknown, True),
        ],
    )
    async def test_commit_fault(
        self, ports: Ports, fault: Fault, kind: type, effect: bool
    ):
        """A commit is reported as not committed only if nothing was written."""
        ports.platform.table_faults.set(fault, seconds=0.01, times=1)
        outcome = await ports.table.commit((write(b'1', ABSENT_VERSION),))
        assert isinstance(outcome, kind)
        assert (KEY in ports.platform.rows.rows) is effect

    @pytest.mark.parametrize('fault', FAILURES)
    async def test_read_fault(self, ports: Ports, fault: Fault):
        """A failed read is not reported as an absent row."""
        ports.platform.table_faults.set(fault, times=1)
        assert isinstance(await ports.table.read(KEY), ReadFailed)
        assert await ports.table.read(KEY) == RowRead(row=None)


class TestObjectStore:
    """Objects and effects of faults."""

    async def test_write_and_read(self, ports: Ports):
        """An object is read as written; an absent object has no content."""
        assert await ports.objects.read(NAME) == ObjectRead(content=None)
        assert await ports.objects.write(NAME, b'\x00\xff') == ObjectWritten()
        assert await ports.objects.read(NAME) == ObjectRead(content=b'\x00\xff')

    @pytest.mark.parametrize(
        'fault', [Fault.REFUSED, Fault.DOWN, Fault.ANSWER_LOST]
    )
    async def test_fault(self, ports: Ports, fault: Fault):
        """A failed read or write is reported as failed."""
        ports.platform.object_faults.set(fault)
        assert isinstance(await ports.objects.write(NAME, b'1'), ObjectFailed)
        assert isinstance(await ports.objects.read(NAME), ObjectFailed)

    @pytest.mark.parametrize('fault', [Fault.TRUNCATED, Fault.GARBAGE])
    async def test_spoilt(self, ports: Ports, fault: Fault):
        """A corrupted read fails or returns other bytes, never absence."""
        await ports.objects.write(NAME, b'content')
        ports.platform.object_faults.set(fault, times=1)
        outcome = await ports.objects.read(NAME)
        assert isinstance(outcome, ObjectFailed) or outcome.content not in {
            None,
            b'content',
        }


class TestHostList:
    """The host list and its faults."""

    async def test_list_follows(self, ports: Ports):
        """Each read returns the current list, changed or not."""
        record = HostRecord(
            host=HostName('h'),
            role=HostRole.ENTRY,
            daemon=DaemonId('d'),
            address='127.0.0.1:1',
            failure_domain=FailureDomainName('padova-a'),
            region='veneto',
        )
        assert await ports.hosts.read() == HostsListed(records=())
        ports.platform.records.append(record)
        assert await ports.hosts.read() == HostsListed(records=(record,))
        assert await ports.hosts.read() == HostsListed(records=(record,))

    @pytest.mark.parametrize('fault', FAILURES)
    async def test_fault(self, ports: Ports, fault: Fault):
        """A failed read is not reported as an empty list."""
        ports.platform.host_faults.set(fault)
        assert isinstance(await ports.hosts.read(), HostsUnavailable)
