"""Commit, distribution and durability of generations under faults."""

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

# Requirement: an accepted change is in force everywhere within 3 s.
IN_FORCE_SECONDS = 3
DOMAINS = ('milano-a', 'padova-a', 'torino-a')
ENTRIES_EACH = 3
TARGETS_EACH = 4

pytestmark = pytest.mark.looptime(start=1000)


@pytest.fixture
def fleet() -> ControlFleet:
    """Build three failure domains.

    No daemon is started here, so that all daemons run on virtual time.
    """
    fleet = ControlFleet()
    for domain in DOMAINS:
        for index in range(ENTRIES_EACH):
            fleet.list_entry(f'entry-{domain}-{index}', domain)
        for index in range(TARGETS_EACH):
            fleet.add_agent(f'{domain}-{index}', domain)
    return fleet


async def start_entries(fleet: ControlFleet) -> None:
    """Start every listed entry daemon and commit a first generation."""
    for record in tuple(fleet.network.records):
        if record.role is HostRole.ENTRY:
            fleet.start_entry(record.daemon, record.failure_domain)
    await apply(fleet, 'entry-milano-a-0', 'first')
    await asyncio.sleep(10)


async def apply(
    fleet: ControlFleet, entry: str, change: str, base: int | None = None
) -> ChangeOutcome:
    """Commit a change that replaces the client accounts.

    :param change: id of the change, and name of the only client account.
    :param base: generation to build on; none for the one in force.
    """
    daemon = fleet.entries[entry]
    base_generation = daemon.holder.generation if base is None else base
    account = ClientAccount(name=change)

    def draft(found):
        if found.generation != base_generation:
            return None
        return Draft(configuration=Configuration(client_accounts=(account,)))

    return await commit_change(
        daemon.holder, daemon.store, ChangeId(change), draft
    )


def make_withdrawal(change: str, name: str = 'torino-a') -> Withdrawal:
    """Build the withdrawal or return of a failure domain."""
    return Withdrawal(
        change=ChangeId(change),
        scope=WithdrawalScope.FAILURE_DOMAIN,
        name=name,
        generation=Generation(0),
    )


async def withdraw(fleet: ControlFleet, entry: str, change: str):
    """Withdraw torino-a through one entry daemon."""
    daemon = fleet.entries[entry]
    return await apply_withdrawal(
        daemon.holder, daemon.store, make_withdrawal(change)
    )


async def return_domain(fleet: ControlFleet, entry: str, change: str):
    """Return torino-a through one entry daemon."""
    daemon = fleet.entries[entry]
    return await apply_return(
        daemon.holder, daemon.store, make_withdrawal(change)
    )


def collect_generations(fleet: ControlFleet) -> set[int]:
    """Collect the generations in force at all daemons."""
    return {holder.generation for holder in fleet.holders}


def collect_withdrawn(fleet: ControlFleet, *outside: str) -> set[bool]:
    """Collect whether daemons see torino-a as withdrawn.

    :param outside: failure domains whose daemons are not asked.
    """
    return {
        holder.is_withdrawn('torino-a-0', 'torino-a')
        for holder, domain in zip(
            fleet.holders, list_domains(fleet), strict=True
        )
        if domain not in outside
    }


def list_domains(fleet: ControlFleet) -> list[str]:
    """List the failure domain of each daemon, in the order of the holders."""
    return [
        *(e.membership.settings.failure_domain for e in fleet.entries.values()),
        *(agent.record.failure_domain for agent in fleet.agents.values()),
    ]


class TestAcceptance:
    """A change takes effect once or, if refused, never."""

    async def test_in_force_within_bound(self, fleet: ControlFleet):
        """An accepted generation is in force at every daemon within 3 s."""
        await start_entries(fleet)
        outcome = await apply(fleet, 'entry-padova-a-1', 'second')
        assert isinstance(outcome, Accepted)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert collect_generations(fleet) == {2}

    async def test_race(self, fleet: ControlFleet):
        """Of two concurrent changes, one is accepted.

        The other gets a conflict with the newer generation.
        """
        await start_entries(fleet)
        outcomes = await asyncio.gather(
            apply(fleet, 'entry-padova-a-1', 'one'),
            apply(fleet, 'entry-torino-a-1', 'two'),
        )
        assert {type(outcome) for outcome in outcomes} == {Accepted, Conflict}
        conflict = next(one for one in outcomes if isinstance(one, Conflict))
        assert conflict.generation == 2

    async def test_race_after_both_have_read(self, fleet: ControlFleet):
        """A change does not overwrite one that was accepted after its read.

        Slow answers make both changes read the head before either commits.
        """
        await start_entries(fleet)
        for domain in ('padova-a', 'torino-a'):
            faults = fleet.network.read_faults(domain)
            faults.set(Fault.SLOW, seconds=0.1)
        outcomes = await asyncio.gather(
            apply(fleet, 'entry-padova-a-1', 'one'),
            apply(fleet, 'entry-torino-a-1', 'two'),
        )
        assert {type(outcome) for outcome in outcomes} == {Accepted, Conflict}
        accepted = next(one for one in outcomes if isinstance(one, Accepted))
        await asyncio.sleep(IN_FORCE_SECONDS)
        digests = {holder.snapshot.sha256 for holder in fleet.holders}
        assert digests == {accepted.snapshot.sha256}
        entries = fleet.entries.values()
        documents = {entry.holder.document for entry in entries}
        assert documents == {accepted.document}

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
        """After a fault at the commit, the reported outcome is the real one.

        With two faults, the second one hits the write that looks up the
        outcome of the first commit.
        """
        await start_entries(fleet)
        daemon = fleet.entries['entry-milano-a-0']
        commit = daemon.store.table.commit
        faults = fleet.network.read_faults('milano-a')

        async def fail(writes):
            faults.set(fault, times=1)
            return await commit(writes)

        tries = [fail] * skipped

        async def commit_with_faults(writes):
            return await (tries.pop() if tries else commit)(writes)

        store = replace_commit(daemon.store, commit_with_faults)
        daemon.store = store
        outcome = await apply(fleet, 'entry-milano-a-0', 'second')
        assert isinstance(outcome, kind)
        faults.set(None)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert collect_generations(fleet) == {2 if kind is Accepted else 1}

    async def test_resend(self, fleet: ControlFleet):
        """A change that is sent again reports the generation that it made."""
        await start_entries(fleet)
        await apply(fleet, 'entry-milano-a-0', 'second', 1)
        await apply(fleet, 'entry-milano-a-0', 'third', 2)
        again = await apply(fleet, 'entry-milano-a-0', 'second', 1)
        assert isinstance(again, Accepted)
        assert again.generation == 2

    async def test_unknown_is_settled_by_resend(self, fleet: ControlFleet):
        """A resend settles a change whose outcome is unknown.

        The answer of the commit is lost, and then the table service goes down.
        """
        await start_entries(fleet)
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
    """Copy a store with another commit function of its table service."""
    table = type(store.table)(read=store.table.read, commit=commit)
    return type(store)(table=table, objects=store.objects)


class TestNeverReverts:
    """An accepted generation stays in force."""

    async def test_restored_table(self, fleet: ControlFleet):
        """A table restored from an older copy does not revert a generation.

        Daemons write the newer head back, where a new daemon finds it.
        """
        await start_entries(fleet)
        old = dict(fleet.network.rows.rows)
        await apply(fleet, 'entry-milano-a-0', 'second')
        await asyncio.sleep(IN_FORCE_SECONDS)
        fleet.network.rows.rows = old
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert collect_generations(fleet) == {2}
        fleet.network.partitioned_domains.update(DOMAINS)
        fresh = fleet.start_entry('entry-new', 'alone')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation == 2
        assert isinstance(await apply(fleet, 'entry-new', 'third'), Accepted)

    async def test_back_from_a_long_cut(self, fleet: ControlFleet):
        """A failure domain catches up within 3 s after a partition of 60 s."""
        await start_entries(fleet)
        fleet.network.cut('torino-a')
        for change in ('second', 'third'):
            await apply(fleet, 'entry-milano-a-0', change)
        await asyncio.sleep(60)
        assert collect_generations(fleet) == {1, 3}
        fleet.network.heal('torino-a')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert collect_generations(fleet) == {3}

    @pytest.mark.parametrize('alone', [True, False])
    async def test_new_during_an_outage(self, fleet: ControlFleet, alone: bool):
        """A new daemon gets the generation from a peer during an outage.

        Without a known peer, the daemon has no generation.
        """
        await start_entries(fleet)
        fleet.network.set_platform(Fault.DOWN)
        known = () if alone else (fleet.network.records[1],)
        fresh = fleet.start_entry('entry-new', 'padova-a', *known)
        fleet.network.read_faults('padova-a').set(Fault.DOWN)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation == (0 if alone else 1)

    @pytest.mark.parametrize('fault', [Fault.GARBAGE, Fault.TRUNCATED])
    async def test_spoilt_document(self, fleet: ControlFleet, fault: Fault):
        """Corrupt data from the platform is not put in force.

        After the fault, the next poll reads the generation.
        """
        await start_entries(fleet)
        await apply(fleet, 'entry-milano-a-0', 'second')
        fleet.network.set_platform(fault)
        fresh = fleet.start_entry('entry-new', 'padova-a')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation in {0, 2}
        fleet.network.set_platform(None)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation == 2

    async def test_exchanged_document(self, fleet: ControlFleet):
        """An index that does not match the digest in the head is refused.

        The index of an older generation replaces that of the newest one in
        the object store.
        """
        await start_entries(fleet)
        objects = fleet.network.objects
        await apply(fleet, 'entry-milano-a-0', 'second')
        (first, second) = sorted(
            name for name in objects if '/part/' not in name
        )
        accepted = objects[second]
        objects[second] = objects[first].replace(b':1', b':2')
        fleet.network.partitioned_domains.update(DOMAINS)
        fresh = fleet.start_entry('entry-new', 'alone')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation == 0
        objects[second] = accepted
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert fresh.holder.generation == 2


class TestWithdrawal:
    """A withdrawal is in force within 3 s under all faults."""

    @pytest.mark.parametrize('fault', [None, *Fault])
    async def test_in_force_within_bound(
        self, fleet: ControlFleet, fault: Fault | None
    ):
        """Every reachable daemon applies it under any fault of the table."""
        await start_entries(fleet)
        fleet.network.cut('milano-a')
        for domain in ('padova-a', 'torino-a'):
            fleet.network.read_faults(domain).set(fault, seconds=30)
        async with asyncio.timeout(IN_FORCE_SECONDS):
            await withdraw(fleet, 'entry-padova-a-0', 'out')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert collect_withdrawn(fleet, 'milano-a') == {True}

    async def test_inside_a_cut(self, fleet: ControlFleet):
        """A failure domain can be withdrawn from inside during a partition."""
        await start_entries(fleet)
        fleet.network.cut('torino-a')
        assert await withdraw(fleet, 'entry-torino-a-0', 'out') is None
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert collect_withdrawn(fleet, 'milano-a', 'padova-a') == {True}
        fleet.network.heal('torino-a')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert collect_withdrawn(fleet) == {True}

    async def test_written_when_the_table_is_back(self, fleet: ControlFleet):
        """A pending withdrawal is committed once after a table outage."""
        await start_entries(fleet)
        fleet.network.set_platform(Fault.DOWN)
        assert await withdraw(fleet, 'entry-padova-a-0', 'out') is None
        await asyncio.sleep(60)
        fleet.network.set_platform(None)
        await asyncio.sleep(2 * IN_FORCE_SECONDS)
        assert collect_withdrawn(fleet) == {True}
        assert all(not holder.withdrawals for holder in fleet.holders)
        assert collect_generations(fleet) == {2}

    async def test_return_needs_the_table(self, fleet: ControlFleet):
        """A return is refused without the table, and nothing changes."""
        await start_entries(fleet)
        await withdraw(fleet, 'entry-padova-a-0', 'out')
        await asyncio.sleep(IN_FORCE_SECONDS)
        fleet.network.set_platform(Fault.DOWN)
        outcome = await return_domain(fleet, 'entry-padova-a-0', 'back')
        assert isinstance(outcome, NotAccepted)
        fleet.network.set_platform(None)
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert collect_withdrawn(fleet) == {True}

    async def test_return_outlives_a_late_withdrawal(self, fleet: ControlFleet):
        """An earlier withdrawal does not undo a return.

        The withdrawal is pending in a partitioned failure domain and spreads
        again when the partition ends.
        """
        await start_entries(fleet)
        fleet.network.set_platform(Fault.DOWN)
        await withdraw(fleet, 'entry-padova-a-0', 'out')
        await asyncio.sleep(IN_FORCE_SECONDS)
        fleet.network.cut('milano-a')
        fleet.network.read_faults('padova-a').set(None)
        fleet.network.read_faults('torino-a').set(None)
        await asyncio.sleep(IN_FORCE_SECONDS)
        outcome = await return_domain(fleet, 'entry-padova-a-0', 'back')
        assert isinstance(outcome, Accepted)
        await asyncio.sleep(60)
        assert collect_withdrawn(fleet, 'milano-a') == {False}
        fleet.network.heal('milano-a')
        await asyncio.sleep(2 * IN_FORCE_SECONDS)
        assert collect_withdrawn(fleet) == {False}

    async def test_operators_at_odds(self, fleet: ControlFleet):
        """A withdrawal concurrent with a return stands.

        The return gets a conflict, or comes before the withdrawal.
        """
        await start_entries(fleet)
        returned, accepted = await asyncio.gather(
            return_domain(fleet, 'entry-milano-a-0', 'back'),
            withdraw(fleet, 'entry-torino-a-0', 'out'),
        )
        assert isinstance(accepted, Accepted)
        await asyncio.sleep(IN_FORCE_SECONDS)
        withdrawn_last = accepted.generation > getattr(
            returned, 'generation', 0
        )
        assert isinstance(returned, Conflict) or withdrawn_last
        assert collect_withdrawn(fleet) == {True}

    async def test_withdrawal_twice(self, fleet: ControlFleet):
        """A withdrawal sent again after a return does not withdraw again."""
        await start_entries(fleet)
        fleet.network.set_platform(Fault.DOWN)
        await withdraw(fleet, 'entry-padova-a-0', 'out')
        fleet.network.set_platform(None)
        await asyncio.sleep(2 * IN_FORCE_SECONDS)
        await return_domain(fleet, 'entry-padova-a-0', 'back')
        await withdraw(fleet, 'entry-milano-a-0', 'out')
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert collect_withdrawn(fleet) == {False}
