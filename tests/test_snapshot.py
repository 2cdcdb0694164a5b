"""Split of generations into parts, which are fetched only if they changed."""

import asyncio

import msgspec
import pytest

from fakes.faults import Fault
from fakes.memory_control import ControlFleet
from measure.control_site import make_configuration
from ragwortcourse.configuration.change import Draft, commit_change
from ragwortcourse.configuration.configuration import ConfigurationDocument
from ragwortcourse.configuration.gathering import fetch_snapshot
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.snapshot import (
    assemble_snapshot,
    build_snapshot,
    read_index,
)
from ragwortcourse.identifiers import ChangeId

IN_FORCE_SECONDS = 3
DOMAINS = ('milano-a', 'padova-a')
ACCOUNTS = 100

pytestmark = pytest.mark.looptime(start=1000)


def reweigh(document: ConfigurationDocument, number: int, weight: float):
    """Build the next generation, with a new weight of one client account."""
    accounts = list(document.configuration.client_accounts)
    accounts[number] = msgspec.structs.replace(accounts[number], weight=weight)
    return msgspec.structs.replace(
        document,
        generation=document.generation + 1,
        configuration=msgspec.structs.replace(
            document.configuration, client_accounts=tuple(accounts)
        ),
    )


def make_document() -> ConfigurationDocument:
    """Build a first generation."""
    return ConfigurationDocument(
        generation=1,
        configuration=make_configuration(accounts=ACCOUNTS, manifest='0' * 64),
        change='first',
        settled_changes=('out',),
    )


class TestSnapshot:
    """Split of a document into parts, and assembly."""

    def test_parts_make_up_the_document(self):
        """Parts join to the document that was split."""
        snapshot = build_snapshot(make_document())
        joined = assemble_snapshot(
            snapshot.index, snapshot.contents, with_accounts=True
        )
        assert joined == snapshot

    def test_one_account_changes_one_part(self):
        """A change of one account changes the digest of one part only."""
        before = build_snapshot(make_document())
        after = build_snapshot(reweigh(before.document, 5, 2))
        changed = after.contents.keys() - before.contents.keys()
        assert len(changed) == 1

    async def test_parts_of_two_generations_are_not_joined(self):
        """A part of another generation is refused."""
        first = build_snapshot(make_document())
        second = build_snapshot(reweigh(first.document, 5, 2))
        holder = ConfigurationHolder()
        holder.update_if_newer(first.document, first)
        old, new = read_index(first.index), read_index(second.index)
        stale = dict(zip(new.accounts, old.accounts, strict=True))

        async def read_part(digest):
            return first.contents[stale[digest]]

        assert await fetch_snapshot(holder, second.index, read_part) is None
        assert holder.document == first.document

    async def test_agent_wants_no_accounts(self):
        """A daemon without client accounts reads all other parts only."""
        snapshot = build_snapshot(make_document())
        asked = []

        async def read_part(digest):
            asked.append(digest)
            return snapshot.contents[digest]

        holder = ConfigurationHolder(with_accounts=False)
        partial = await fetch_snapshot(holder, snapshot.index, read_part)
        assert not set(asked) & set(read_index(snapshot.index).accounts)
        configuration = snapshot.document.configuration
        assert partial.document.configuration == msgspec.structs.replace(
            configuration, client_accounts=()
        )


@pytest.fixture
def fleet() -> ControlFleet:
    """Build two failure domains with two entry daemons and two agents each."""
    fleet = ControlFleet()
    for domain in DOMAINS:
        for number in range(2):
            fleet.list_entry(f'e-{domain}-{number}', domain)
            fleet.add_agent(f't-{domain}-{number}', domain)
    return fleet


async def start_entries(fleet: ControlFleet) -> None:
    """Start every entry daemon and commit a first generation."""
    for record in tuple(fleet.network.records):
        if record.target is None:
            fleet.start_entry(record.daemon, record.failure_domain)
    await commit_weight(fleet, 1)
    await asyncio.sleep(10)


async def commit_weight(
    fleet: ControlFleet, weight: float, number: int = 0
) -> None:
    """Commit a new weight of one client account."""
    entry = fleet.entries['e-milano-a-0']
    document = entry.holder.document or make_document()

    def draft(_):
        changed = reweigh(document, number, weight)
        return Draft(configuration=changed.configuration)

    change = ChangeId(f'weight-{weight}')
    await commit_change(entry.holder, entry.store, change, draft)


def read_weight(holder: ConfigurationHolder) -> float:
    """Return the weight of the first client account in force at a daemon."""
    return holder.document.configuration.client_accounts[0].weight


class TestSpread:
    """Distribution of parts between daemons and the platform."""

    async def test_account_change_sends_agents_no_parts(
        self, fleet: ControlFleet
    ):
        """Agents get the new generation without fetching any part."""
        await start_entries(fleet)
        fleet.network.part_bytes.clear()
        await commit_weight(fleet, 2)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert {holder.generation for holder in fleet.holders} == {2}
        assert not [
            name for name in fleet.agents if fleet.network.part_bytes[name]
        ]

    async def test_change_stores_what_changed(self, fleet: ControlFleet):
        """A change of one account writes one index and one part."""
        await start_entries(fleet)
        objects = fleet.network.objects
        objects.update(dict.fromkeys(objects, b'not written again'))
        before = dict(objects)
        await commit_weight(fleet, 2)
        written = [name for name in objects if name not in before]
        assert len(written) == 2
        assert before.items() <= objects.items()

    @pytest.mark.parametrize('spoilt', [b'{}', b'', b'\xff'])
    async def test_spoilt_part_comes_from_the_store(
        self, fleet: ControlFleet, spoilt: bytes
    ):
        """Entry daemons read the object store if peers send corrupt parts."""
        await start_entries(fleet)
        network = fleet.network
        network.corrupt_parts = dict.fromkeys(network.daemons, spoilt)
        await commit_weight(fleet, 2)
        await asyncio.sleep(IN_FORCE_SECONDS)
        weights = {read_weight(e.holder) for e in fleet.entries.values()}
        assert weights == {2}

    async def test_lacking_part_comes_from_peers(self, fleet: ControlFleet):
        """Entry daemons get a part from peers if the object store lost it."""
        await start_entries(fleet)
        before = set(fleet.network.objects)
        await commit_weight(fleet, 2)
        for name in set(fleet.network.objects) - before:
            if '/part/' in name:
                fleet.network.objects.pop(name)
        await asyncio.sleep(IN_FORCE_SECONDS)
        weights = {read_weight(e.holder) for e in fleet.entries.values()}
        assert weights == {2}

    async def test_learnt_from_an_agent(self, fleet: ControlFleet):
        """A new entry daemon learns of a generation from an agent.

        The head in the table is older and no entry daemon is left. The object
        store has the parts with client accounts, which agents do not hold.
        """
        await start_entries(fleet)
        old = dict(fleet.network.rows.rows)
        await commit_weight(fleet, 2)
        await asyncio.sleep(IN_FORCE_SECONDS)
        await fleet.stop()
        for name in fleet.entries:
            fleet.network.daemons.pop(f'{name}:1')
        fleet.network.rows.rows = old
        fresh = fleet.start_entry('e-new', 'milano-a')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation == 2
        assert read_weight(fresh.holder) == 2

    async def test_peers_spread_it_with_the_platform_away(
        self, fleet: ControlFleet
    ):
        """Daemons get changed parts from peers after a partition.

        The platform is down when the partition ends.
        """
        await start_entries(fleet)
        fleet.network.cut('padova-a')
        await commit_weight(fleet, 2)
        fleet.network.partitioned_domains.clear()
        fleet.network.set_platform(Fault.DOWN)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert {holder.generation for holder in fleet.holders} == {2}
        weights = {read_weight(e.holder) for e in fleet.entries.values()}
        assert weights == {2}

    @pytest.mark.parametrize('changed', [True, False])
    async def test_restored_platform(self, fleet: ControlFleet, changed: bool):
        """All parts are written again after a restore of older data.

        Both services of the platform are restored. In the first case, an
        operator's change is committed before any daemon polls the head.
        """
        await start_entries(fleet)
        network = fleet.network
        rows, objects = dict(network.rows.rows), dict(network.objects)
        await commit_weight(fleet, 2)
        await asyncio.sleep(IN_FORCE_SECONDS)
        network.rows.rows = rows
        network.objects.clear()
        network.objects.update(objects)
        if changed:
            await commit_weight(fleet, 3, number=1)
            await fleet.stop()
        await asyncio.sleep(IN_FORCE_SECONDS)
        network.partitioned_domains.update(DOMAINS)
        fresh = fleet.start_entry('e-new', 'alone')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation == (3 if changed else 2)
