"""Acceptance, spread and lasting of generations, under faults."""

import asyncio

import pytest

from fakes.faults import Fault
from fakes.memory_control import ControlFleet
from ragwortcourse.configuration.acceptance import (
    AcceptanceUnknown,
    Accepted,
    NotAccepted,
)
from ragwortcourse.configuration.change import (
    ChangeOutcome,
    Conflict,
    Draft,
    commit_change,
)
from ragwortcourse.configuration.client_account import ClientAccount
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.withdrawals import (
    apply_return,
    apply_withdrawal,
)
from ragwortcourse.identifiers import ChangeId, Generation
from ragwortcourse.membership.hosts import HostRole
from ragwortcourse.messages.withdrawal import Withdrawal, WithdrawalScope

# The target: accepted means in force everywhere within 3 s.
IN_FORCE_SECONDS = 3
DOMAINS = ('milano-a', 'padova-a', 'torino-a')
ENTRIES_EACH = 3
TARGETS_EACH = 4

pytestmark = pytest.mark.looptime(start=1000)


@pytest.fixture
def fleet() -> ControlFleet:
    """Three failure domains; nothing runs yet, so that time is virtual."""
    fleet = ControlFleet()
    for domain in DOMAINS:
        for index in range(ENTRIES_EACH):
            fleet.list_entry(f'entry-{domain}-{index}', domain)
        for index in range(TARGETS_EACH):
            fleet.add_agent(f'{domain}-{index}', domain)
    return fleet


async def settle(fleet: ControlFleet) -> None:
    """Start every listed entry daemon, settled on a first generation."""
    for record in tuple(fleet.network.records):
        if record.role is HostRole.ENTRY:
            fleet.start_entry(record.daemon, record.failure_domain)
    await apply(fleet, 'entry-milano-a-0', 'first')
    await asyncio.sleep(10)


async def apply(
    fleet: ControlFleet, entry: str, change: str, base: int | None = None
) -> ChangeOutcome:
    """An operator's change of the client accounts, named for the change."""
    daemon = fleet.entries[entry]
    built_on = daemon.holder.generation if base is None else base
    account = ClientAccount(name=change)

    def draft(found):
        if found.generation != built_on:
            return None
        return Draft(configuration=Configuration(client_accounts=(account,)))

    return await commit_change(
        daemon.holder, daemon.store, ChangeId(change), draft
    )


def part(change: str, name: str = 'torino-a') -> Withdrawal:
    """The withdrawal or return of a failure domain."""
    return Withdrawal(
        change=ChangeId(change),
        scope=WithdrawalScope.FAILURE_DOMAIN,
        name=name,
        generation=Generation(0),
    )


async def withdraw(fleet: ControlFleet, entry: str, change: str):
    """Withdraw torino-a at one daemon."""
    daemon = fleet.entries[entry]
    return await apply_withdrawal(daemon.holder, daemon.store, part(change))


async def give_back(fleet: ControlFleet, entry: str, change: str):
    """Return torino-a at one daemon."""
    daemon = fleet.entries[entry]
    return await apply_return(daemon.holder, daemon.store, part(change))


def generations(fleet: ControlFleet) -> set[int]:
    """Generations in force anywhere."""
    return {holder.generation for holder in fleet.holders}


def withdrawn(fleet: ControlFleet, *outside: str) -> set[bool]:
    """What the daemons out of these failure domains say of torino-a."""
    return {
        holder.is_withdrawn('torino-a-0', 'torino-a')
        for holder, domain in zip(
            fleet.holders, list_domains(fleet), strict=True
        )
        if domain not in outside
    }


def list_domains(fleet: ControlFleet) -> list[str]:
    """Failure domain of each daemon, in the order of the holders."""
    return [
        *(e.membership.settings.failure_domain for e in fleet.entries.values()),
        *(agent.record.failure_domain for agent in fleet.agents.values()),
    ]


class TestAcceptance:
    """A change is accepted once, or is truly not."""

    async def test_in_force_within_bound(self, fleet: ControlFleet):
        """An accepted generation is in force at every daemon in 3 s."""
        await settle(fleet)
        outcome = await apply(fleet, 'entry-padova-a-1', 'second')
        assert isinstance(outcome, Accepted)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert generations(fleet) == {2}

    async def test_race(self, fleet: ControlFleet):
        """Of two operators one wins, the other is shown the newer one."""
        await settle(fleet)
        outcomes = await asyncio.gather(
            apply(fleet, 'entry-padova-a-1', 'one'),
            apply(fleet, 'entry-torino-a-1', 'two'),
        )
        assert {type(outcome) for outcome in outcomes} == {Accepted, Conflict}
        lost = next(one for one in outcomes if isinstance(one, Conflict))
        assert lost.generation == 2

    async def test_race_after_both_have_read(self, fleet: ControlFleet):
        """What one operator was told is accepted is not overwritten."""
        await settle(fleet)
        for domain in ('padova-a', 'torino-a'):
            faults = fleet.network.read_faults(domain)
            faults.set(Fault.SLOW, seconds=0.1)
        outcomes = await asyncio.gather(
            apply(fleet, 'entry-padova-a-1', 'one'),
            apply(fleet, 'entry-torino-a-1', 'two'),
        )
        assert {type(outcome) for outcome in outcomes} == {Accepted, Conflict}
        won = next(one for one in outcomes if isinstance(one, Accepted))
        await asyncio.sleep(IN_FORCE_SECONDS)
        digests = {holder.snapshot.sha256 for holder in fleet.holders}
        assert digests == {won.snapshot.sha256}
        entries = fleet.entries.values()
        documents = {entry.holder.document for entry in entries}
        assert documents == {won.document}

    @pytest.mark.parametrize(
        ('fault', 'kind'),
        [
            (Fault.ANSWER_LOST, Accepted),
            (Fault.TRUNCATED, Accepted),
            (Fault.GARBAGE, Accepted),
            (Fault.REFUSED, NotAccepted),
            (Fault.DOWN, NotAccepted),
        ],
    )
    @pytest.mark.parametrize('skipped', [1, 2])
    async def test_fault(
        self, fleet: ControlFleet, fault: Fault, kind: type, skipped: int
    ):
        """A fault at the commit leaves a true outcome and one effect.

        The second case strikes once more, at the settling of the first.
        """
        await settle(fleet)
        daemon = fleet.entries['entry-milano-a-0']
        commit = daemon.store.table.commit
        faults = fleet.network.read_faults('milano-a')

        async def fail(writes):
            faults.set(fault, times=1)
            return await commit(writes)

        tries = [fail] * skipped

        async def strike(writes):
            return await (tries.pop() if tries else commit)(writes)

        store = replace_commit(daemon.store, strike)
        daemon.store = store
        outcome = await apply(fleet, 'entry-milano-a-0', 'second')
        assert isinstance(outcome, kind)
        faults.set(None)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert generations(fleet) == {2 if kind is Accepted else 1}

    async def test_resend(self, fleet: ControlFleet):
        """A change sent again is accepted as the generation it made."""
        await settle(fleet)
        await apply(fleet, 'entry-milano-a-0', 'second', 1)
        await apply(fleet, 'entry-milano-a-0', 'third', 2)
        again = await apply(fleet, 'entry-milano-a-0', 'second', 1)
        assert isinstance(again, Accepted)
        assert again.generation == 2

    async def test_unknown_is_settled_by_resend(self, fleet: ControlFleet):
        """With the table gone in mid-change the outcome is unknown."""
        await settle(fleet)
        daemon = fleet.entries['entry-milano-a-0']
        commit = daemon.store.table.commit
        faults = fleet.network.read_faults('milano-a')

        async def fail(writes):
            faults.set(Fault.ANSWER_LOST, times=1)
            outcome = await commit(writes)
            faults.set(Fault.DOWN)
            return outcome

        daemon.store = replace_commit(daemon.store, fail)
        outcome = await apply(fleet, 'entry-milano-a-0', 'second')
        assert isinstance(outcome, AcceptanceUnknown)
        faults.set(None)
        daemon.store = replace_commit(daemon.store, commit)
        again = await apply(fleet, 'entry-milano-a-0', 'second', 1)
        assert isinstance(again, Accepted)
        assert again.generation == 2


def replace_commit(store, commit):
    """A store whose table commits in another way."""
    table = type(store.table)(read=store.table.read, commit=commit)
    return type(store)(table=table, objects=store.objects)


class TestNeverReverts:
    """What was accepted stays in force."""

    async def test_restored_table(self, fleet: ControlFleet):
        """An older copy of the table takes nothing back."""
        await settle(fleet)
        old = dict(fleet.network.rows.rows)
        await apply(fleet, 'entry-milano-a-0', 'second')
        await asyncio.sleep(IN_FORCE_SECONDS)
        fleet.network.rows.rows = old
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert generations(fleet) == {2}
        fleet.network.islands.update(DOMAINS)
        fresh = fleet.start_entry('entry-new', 'alone')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation == 2
        assert isinstance(await apply(fleet, 'entry-new', 'third'), Accepted)

    async def test_back_from_a_long_cut(self, fleet: ControlFleet):
        """A failure domain back from a cut catches up within the bound."""
        await settle(fleet)
        fleet.network.cut('torino-a')
        for change in ('second', 'third'):
            await apply(fleet, 'entry-milano-a-0', change)
        await asyncio.sleep(60)
        assert generations(fleet) == {1, 3}
        fleet.network.heal('torino-a')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert generations(fleet) == {3}

    @pytest.mark.parametrize('alone', [True, False])
    async def test_new_during_an_outage(self, fleet: ControlFleet, alone: bool):
        """A new daemon learns from a peer, and knows nothing alone."""
        await settle(fleet)
        fleet.network.set_platform(Fault.DOWN)
        known = () if alone else (fleet.network.records[1],)
        fresh = fleet.start_entry('entry-new', 'padova-a', *known)
        fleet.network.read_faults('padova-a').set(Fault.DOWN)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation == (0 if alone else 1)

    @pytest.mark.parametrize('fault', [Fault.GARBAGE, Fault.TRUNCATED])
    async def test_spoilt_document(self, fleet: ControlFleet, fault: Fault):
        """A spoilt document is not taken; a sound reading of it is."""
        await settle(fleet)
        await apply(fleet, 'entry-milano-a-0', 'second')
        fleet.network.set_platform(fault)
        fresh = fleet.start_entry('entry-new', 'padova-a')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation in {0, 2}
        fleet.network.set_platform(None)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation == 2

    async def test_exchanged_document(self, fleet: ControlFleet):
        """A document other than the one that was accepted is not taken."""
        await settle(fleet)
        objects = fleet.network.objects
        await apply(fleet, 'entry-milano-a-0', 'second')
        (first, second) = sorted(
            name for name in objects if '/part/' not in name
        )
        accepted = objects[second]
        objects[second] = objects[first].replace(b':1', b':2')
        fleet.network.islands.update(DOMAINS)
        fresh = fleet.start_entry('entry-new', 'alone')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation == 0
        objects[second] = accepted
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation == 2


class TestWithdrawal:
    """No new work 3 s after the acceptance, whatever else fails."""

    @pytest.mark.parametrize('fault', [None, *Fault])
    async def test_in_force_within_bound(
        self, fleet: ControlFleet, fault: Fault | None
    ):
        """Every daemon in reach knows, with the table in any state."""
        await settle(fleet)
        fleet.network.cut('milano-a')
        for domain in ('padova-a', 'torino-a'):
            fleet.network.read_faults(domain).set(fault, seconds=30)
        async with asyncio.timeout(IN_FORCE_SECONDS):
            await withdraw(fleet, 'entry-padova-a-0', 'out')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert withdrawn(fleet, 'milano-a') == {True}

    async def test_inside_a_cut(self, fleet: ControlFleet):
        """An operator in a failure domain that is alone withdraws it."""
        await settle(fleet)
        fleet.network.cut('torino-a')
        assert await withdraw(fleet, 'entry-torino-a-0', 'out') is None
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert withdrawn(fleet, 'milano-a', 'padova-a') == {True}
        fleet.network.heal('torino-a')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert withdrawn(fleet) == {True}

    async def test_written_when_the_table_is_back(self, fleet: ControlFleet):
        """A pending withdrawal ends in one generation and is settled."""
        await settle(fleet)
        fleet.network.set_platform(Fault.DOWN)
        assert await withdraw(fleet, 'entry-padova-a-0', 'out') is None
        await asyncio.sleep(60)
        fleet.network.set_platform(None)
        await asyncio.sleep(2 * IN_FORCE_SECONDS)
        assert withdrawn(fleet) == {True}
        assert all(not holder.withdrawals for holder in fleet.holders)
        assert generations(fleet) == {2}

    async def test_return_needs_the_table(self, fleet: ControlFleet):
        """Without the table a return is refused and nothing changes."""
        await settle(fleet)
        await withdraw(fleet, 'entry-padova-a-0', 'out')
        await asyncio.sleep(IN_FORCE_SECONDS)
        fleet.network.set_platform(Fault.DOWN)
        outcome = await give_back(fleet, 'entry-padova-a-0', 'back')
        assert isinstance(outcome, NotAccepted)
        fleet.network.set_platform(None)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert withdrawn(fleet) == {True}

    async def test_return_outlives_a_late_withdrawal(self, fleet: ControlFleet):
        """A withdrawal of before, held in a cut, does not undo a return."""
        await settle(fleet)
        fleet.network.set_platform(Fault.DOWN)
        await withdraw(fleet, 'entry-padova-a-0', 'out')
        await asyncio.sleep(IN_FORCE_SECONDS)
        fleet.network.cut('milano-a')
        fleet.network.read_faults('padova-a').set(None)
        fleet.network.read_faults('torino-a').set(None)
        await asyncio.sleep(IN_FORCE_SECONDS)
        outcome = await give_back(fleet, 'entry-padova-a-0', 'back')
        assert isinstance(outcome, Accepted)
        await asyncio.sleep(60)
        assert withdrawn(fleet, 'milano-a') == {False}
        fleet.network.heal('milano-a')
        await asyncio.sleep(2 * IN_FORCE_SECONDS)
        assert withdrawn(fleet) == {False}

    async def test_operators_at_odds(self, fleet: ControlFleet):
        """Withdrawn by one while another returns: it stands, both know."""
        await settle(fleet)
        returned, accepted = await asyncio.gather(
            give_back(fleet, 'entry-milano-a-0', 'back'),
            withdraw(fleet, 'entry-torino-a-0', 'out'),
        )
        assert isinstance(accepted, Accepted)
        await asyncio.sleep(IN_FORCE_SECONDS)
        won = accepted.generation > getattr(returned, 'generation', 0)
        assert isinstance(returned, Conflict) or won
        assert withdrawn(fleet) == {True}

    async def test_withdrawal_twice(self, fleet: ControlFleet):
        """The same change sent again is the same withdrawal."""
        await settle(fleet)
        fleet.network.set_platform(Fault.DOWN)
        await withdraw(fleet, 'entry-padova-a-0', 'out')
        fleet.network.set_platform(None)
        await asyncio.sleep(2 * IN_FORCE_SECONDS)
        await give_back(fleet, 'entry-padova-a-0', 'back')
        await withdraw(fleet, 'entry-milano-a-0', 'out')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert withdrawn(fleet) == {False}
