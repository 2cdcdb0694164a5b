"""Generations in parts: never mixed, and fetched as far as they changed."""

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
    """The next generation, in which one client account has a new weight."""
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
    """A first generation."""
    return ConfigurationDocument(
        generation=1,
        configuration=make_configuration(accounts=ACCOUNTS, manifest='0' * 64),
        change='first',
        settled_changes=('out',),
    )


class TestEdition:
    """A document in parts."""

    def test_parts_make_up_the_document(self):
        """Joined parts are the document that was split."""
        snapshot = build_snapshot(make_document())
        joined = assemble_snapshot(
            snapshot.index, snapshot.contents, with_accounts=True
        )
        assert joined == snapshot

    def test_one_account_changes_one_part(self):
        """The other parts keep their digests, and are not fetched again."""
        before = build_snapshot(make_document())
        after = build_snapshot(reweigh(before.document, 5, 2))
        changed = after.contents.keys() - before.contents.keys()
        assert len(changed) == 1

    async def test_parts_of_two_generations_are_not_joined(self):
        """A part of another generation is refused, whoever sends it."""
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
        """A daemon without accounts reads none and has all the rest."""
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
    """Two failure domains with two entry daemons and two agents each."""
    fleet = ControlFleet()
    for domain in DOMAINS:
        for number in range(2):
            fleet.list_entry(f'e-{domain}-{number}', domain)
            fleet.add_agent(f't-{domain}-{number}', domain)
    return fleet


async def settle(fleet: ControlFleet) -> None:
    """Start every daemon, with a first generation in force."""
    for record in tuple(fleet.network.records):
        if record.target is None:
            fleet.start_entry(record.daemon, record.failure_domain)
    await apply(fleet, 1)
    await asyncio.sleep(10)


async def apply(fleet: ControlFleet, weight: float, number: int = 0) -> None:
    """Give one of the client accounts a weight."""
    entry = fleet.entries['e-milano-a-0']
    document = entry.holder.document or make_document()

    def draft(_):
        changed = reweigh(document, number, weight)
        return Draft(configuration=changed.configuration)

    change = ChangeId(f'weight-{weight}')
    await commit_change(entry.holder, entry.store, change, draft)


def read_weight(holder: ConfigurationHolder) -> float:
    """Weight of that client account, as a daemon holds it."""
    return holder.document.configuration.client_accounts[0].weight


class TestSpread:
    """Parts between daemons and the platform."""

    async def test_account_change_sends_agents_no_parts(
        self, fleet: ControlFleet
    ):
        """Agents learn the generation, and not one byte of accounts."""
        await settle(fleet)
        fleet.network.part_bytes.clear()
        await apply(fleet, 2)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert {holder.generation for holder in fleet.holders} == {2}
        assert not [
            name for name in fleet.agents if fleet.network.part_bytes[name]
        ]

    async def test_change_stores_what_changed(self, fleet: ControlFleet):
        """One index and one part are written for one account."""
        await settle(fleet)
        objects = fleet.network.objects
        objects.update(dict.fromkeys(objects, b'not written again'))
        before = dict(objects)
        await apply(fleet, 2)
        written = [name for name in objects if name not in before]
        assert len(written) == 2
        assert before.items() <= objects.items()

    @pytest.mark.parametrize('spoilt', [b'{}', b'', b'\xff'])
    async def test_spoilt_part_comes_from_the_store(
        self, fleet: ControlFleet, spoilt: bytes
    ):
        """Where every peer spoils parts, entry daemons read the store's."""
        await settle(fleet)
        network = fleet.network
        network.spoilt_parts = dict.fromkeys(network.daemons, spoilt)
        await apply(fleet, 2)
        await asyncio.sleep(IN_FORCE_SECONDS)
        weights = {read_weight(e.holder) for e in fleet.entries.values()}
        assert weights == {2}

    async def test_lacking_part_comes_from_peers(self, fleet: ControlFleet):
        """Where the store lost a part, entry daemons have it of each other."""
        await settle(fleet)
        before = set(fleet.network.objects)
        await apply(fleet, 2)
        for name in set(fleet.network.objects) - before:
            if '/part/' in name:
                fleet.network.objects.pop(name)
        await asyncio.sleep(IN_FORCE_SECONDS)
        weights = {read_weight(e.holder) for e in fleet.entries.values()}
        assert weights == {2}

    async def test_learnt_from_an_agent(self, fleet: ControlFleet):
        """With an old table and no peers, agent and store give it whole."""
        await settle(fleet)
        old = dict(fleet.network.rows.rows)
        await apply(fleet, 2)
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
        """A daemon that was cut off gets what changed from its peers."""
        await settle(fleet)
        fleet.network.cut('padova-a')
        await apply(fleet, 2)
        fleet.network.islands.clear()
        fleet.network.set_platform(Fault.DOWN)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert {holder.generation for holder in fleet.holders} == {2}
        weights = {read_weight(e.holder) for e in fleet.entries.values()}
        assert weights == {2}

    @pytest.mark.parametrize('changed', [True, False])
    async def test_restored_platform(self, fleet: ControlFleet, changed: bool):
        """After an old copy of both services, all parts are stored anew.

        In the first case a change comes before any daemon has looked.
        """
        await settle(fleet)
        network = fleet.network
        rows, objects = dict(network.rows.rows), dict(network.objects)
        await apply(fleet, 2)
        await asyncio.sleep(IN_FORCE_SECONDS)
        network.rows.rows = rows
        network.objects.clear()
        network.objects.update(objects)
        if changed:
            await apply(fleet, 3, number=1)
            await fleet.stop()
        await asyncio.sleep(IN_FORCE_SECONDS)
        network.islands.update(DOMAINS)
        fresh = fleet.start_entry('e-new', 'alone')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation == (3 if changed else 2)
