"""Steps of the scenarios in features/.

A scenario runs a whole site in one process on virtual time.
"""

import asyncio
import json

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from fakes.callers import Ending
from fakes.faults import Fault
from fakes.memory_engine import CRASH_MARK
from fakes.site_plan import MODEL
from fakes.stage import SiteRunner
from ragwortcourse.configuration.acceptance import Accepted

scenarios('.')

WITHDRAWAL_SECONDS = 3
REFUSAL_SECONDS = 1.0


@pytest.fixture
def stage(tmp_path):
    """Build a separate site for each scenario."""
    made = SiteRunner(folder=tmp_path)
    yield made
    made.close()


@given(
    parsers.parse(
        'a site of three failure domains under a load of {rate:d} calls '
        'a second'
    )
)
def load_site(stage, rate):
    stage.begin_load(rate)


@when(parsers.parse('{seconds:d} seconds pass'))
def pass_time(stage, seconds):
    stage.run(asyncio.sleep(seconds))


@when(parsers.parse('operators withdraw failure domain {name}'))
def withdraw(stage, name):
    stage.run(stage.change_withdrawal(name, withdraw=True))
    stage.mark(name)


@when(parsers.parse('operators at {where} withdraw failure domain {name}'))
def withdraw_at(stage, where, name):
    stage.run(stage.change_withdrawal(name, withdraw=True, at=where))
    stage.mark(name)


@when(parsers.parse('operators return failure domain {name}'))
def return_domain(stage, name):
    stage.run(stage.change_withdrawal(name, withdraw=False))
    stage.mark(f'{name} returned')


@when(
    parsers.parse(
        'one operator returns failure domain {name} while another withdraws it'
    )
)
def race_return_and_withdrawal(stage, name):
    async def race():
        return await asyncio.gather(
            stage.change_withdrawal(name, withdraw=False, at='alpha'),
            stage.change_withdrawal(name, withdraw=True, at='gamma'),
        )

    stage.run(race())


@when('the table service is down')
@when('the platform is down')
def break_table(stage):
    stage.site.break_platform(Fault.DOWN)
    stage.mark('outage')


@when('the table service loses answers')
def lose_answers(stage):
    stage.site.break_platform(Fault.ANSWER_LOST)


@when('the table service answers again')
def restore_table(stage):
    stage.site.break_platform(None)


@when(parsers.parse('the platform can not be reached from {name}'))
def cut_platform(stage, name):
    stage.site.break_platform(Fault.DOWN, failure_domain=name)


@when(parsers.parse('failure domain {name} is cut off'))
def cut_off(stage, name):
    stage.cut_off(name)


@when(
    parsers.parse(
        'failure domain {name} is cut off from all and from the platform'
    )
)
def isolate(stage, name):
    stage.cut_off(name, platform=True)
    stage.mark('cut')


@when(parsers.parse('nothing passes between {one} and {other}'))
def cut_between(stage, one, other):
    stage.site.wire.cut(one, other)


@when('everything is mended')
def mend(stage):
    stage.repair_faults()


@when(parsers.parse('every host of failure domain {name} is killed'))
def kill_domain(stage, name):
    for host in stage.list_hosts(name):
        stage.kill(host)


@when(parsers.parse('every host of failure domain {name} restarts'))
def restart_domain(stage, name):
    for host in stage.list_hosts(name):
        stage.restart(host)
    stage.mark(f'{name} returned')


@when('every agent is killed')
def kill_agents(stage):
    for host in stage.site.plan.targets:
        stage.kill(host)


@when(parsers.parse('every entry daemon of {name} is killed'))
def kill_entries_of(stage, name):
    for host, where in stage.site.plan.entries.items():
        if where == name:
            stage.kill(host)


@when(parsers.parse('host {name} is killed'))
def kill_host(stage, name):
    stage.kill(name)


@when(parsers.parse('host {name} restarts'))
def restart_host(stage, name):
    stage.restart(name)


@when(parsers.parse('host {name} freezes'))
def freeze_host(stage, name):
    stage.site.freeze(name)


@when(parsers.parse('host {name} thaws'))
def thaw_host(stage, name):
    stage.site.thaw(name)


@when(parsers.parse('the engine of {name} dies'))
def kill_engine(stage, name):
    stage.kill_engine(name)


@when('each entry daemon is stopped and replaced in turn')
@when('every daemon is replaced')
def replace_entries(stage):
    stage.replace(list(stage.site.plan.entries))


@when('each agent is stopped and replaced in turn')
def replace_agents(stage):
    stage.replace(list(stage.site.plan.targets))


@when(parsers.parse('every entry daemon of {name} is replaced'))
def replace_entries_of(stage, name):
    hosts = [
        host for host, where in stage.site.plan.entries.items() if where == name
    ]
    stage.replace(hosts)


@when(parsers.parse('the list says that {name} is leaving'))
def mark_leaving(stage, name):
    stage.site.mark_leaving(name)
    stage.mark(name)


@when('callers that were cut off send again')
def resend(stage):
    stage.resend_cut()


@when(
    parsers.parse('a request that crashes engines is sent at {name}'),
    target_fixture='told',
)
def send_crasher(stage, name):
    body = {'model': MODEL, 'prompt': CRASH_MARK.decode()}
    return stage.run(
        stage.callers.send(
            is_charge=False,
            entry=f'entry-{name}-0',
            body=json.dumps(body).encode(),
        )
    )


@when('the same charge is sent to two entry daemons at once')
def send_twice(stage):
    async def send():
        await asyncio.gather(
            *(
                stage.callers.send(is_charge=True, key='twice', entry=entry)
                for entry in ('entry-alpha-0', 'entry-beta-0')
            )
        )

    stage.run(send())


@when(parsers.parse('operators deploy version {version}'))
def deploy(stage, version):
    stage.run(stage.site.publish(version))
    stage.run(stage.site.deploy(version))
    stage.mark('deployed')


@when('operators accept a configuration')
@when('operators at alpha accept a configuration')
def accept(stage):
    stage.copy_rows()
    outcome = stage.run(stage.site.deploy('v1', 'entry-alpha-0'))
    assert isinstance(outcome, Accepted), outcome
    stage.generations = {'accepted': outcome.generation}


@when('two operators accept configurations at once')
def accept_two(stage):
    async def race():
        return await asyncio.gather(
            stage.site.deploy('v1', 'entry-alpha-0'),
            stage.site.deploy('v1', 'entry-gamma-0'),
        )

    outcomes = stage.run(race())
    accepted = [each for each in outcomes if isinstance(each, Accepted)]
    stage.generations = {'accepted': max(each.generation for each in accepted)}


@when('the table service goes back to an older state')
def revert_table(stage):
    stage.restore_rows()


@then(
    parsers.parse(
        'no work has begun in {name} since 3 seconds after its withdrawal'
    )
)
def check_no_work(stage, name):
    late = stage.site.run_recorder.list_since(
        stage.marks[name] + WITHDRAWAL_SECONDS, name
    )
    assert late == []


@then(parsers.parse('no work has begun at {name} since 3 seconds after that'))
def check_no_work_at(stage, name):
    limit = stage.marks[name] + WITHDRAWAL_SECONDS
    late = [
        each
        for each in stage.site.run_recorder.run_starts
        if each.target == name and each.at > limit
    ]
    assert late == []


@then(parsers.parse('work has begun again in {name}'))
def check_work(stage, name):
    since = stage.marks[f'{name} returned']
    assert stage.site.run_recorder.list_since(since, name)


@then('every call was answered whole')
def check_all_whole(stage):
    stage.end()
    bad = [
        result
        for result in stage.callers.results
        if result.ending is not Ending.COMPLETE
    ]
    assert bad == []


@then('every model call was answered whole')
def check_models_whole(stage):
    stage.end()
    bad = [
        result
        for result in stage.callers.results
        if result.key is None and result.ending is not Ending.COMPLETE
    ]
    assert bad == []


@then(
    parsers.parse(
        'model calls at {name} were answered whole while it was cut off'
    )
)
def check_served_while_cut(stage, name):
    stage.end()
    results = [
        each
        for each in stage.callers.results
        if each.key is None
        and each.began_at > stage.marks['cut']
        and stage.site.plan.entries[each.entry] == name
    ]
    assert results
    assert [
        each for each in results if each.ending is not Ending.COMPLETE
    ] == []


@then('charges are refused at once as not run')
def check_charges_refused(stage):
    stage.end()
    refused = [
        each
        for each in stage.callers.results
        if each.key is not None and each.began_at > stage.marks['outage']
    ]
    assert refused
    for each in refused:
        assert each.outcome == 'not_run', each
        assert each.ended_at - each.began_at < REFUSAL_SECONDS, each
        assert each.retry_after is not None, each


@then(parsers.parse('it is refused and no engine of {name} has died'))
def check_crasher_refused(stage, told, name):
    assert told.code == 'crashing_request'
    crashes = {
        host: engine.crashes
        for host, engine in stage.site.engines.items()
        if stage.site.plan.targets[host].failure_domain == name
    }
    assert set(crashes.values()) == {0}, crashes


@then('it ran once')
def check_ran_once(stage):
    assert stage.site.run_recorder.count_runs()['twice'] == 1


@then(parsers.parse('model calls are answered by {version}'))
def check_version(stage, version):
    stage.end()
    last = [each for each in stage.callers.results if each.key is None][-20:]
    assert {each.version for each in last} == {version}


@then('it is in force at every daemon')
@then('one of them is in force at every daemon')
def check_in_force(stage):
    wanted = stage.generations['accepted']
    generations = stage.read_generations()
    assert [name for name, each in generations.items() if each < wanted] == []
    assert len(set(generations.values())) == 1


@then('no daemon went back to a lower generation')
def check_no_reversal(stage):
    wanted = stage.generations['accepted']
    assert stage.lowest_generation >= wanted


@then(parsers.parse('every daemon agrees on {name}'))
def check_agreement(stage, name):
    seen = {
        holder.is_withdrawn('', name)
        for holder in stage.site.routes.holders.values()
    }
    assert len(seen) == 1


@then(parsers.parse('every entry daemon that lives has withdrawn {name}'))
def check_withdrawn(stage, name):
    unaware = [
        host
        for host, resident in stage.site.residents.items()
        if resident.entry is not None
        and resident.host.alive
        and not resident.entry.entry.holder.is_withdrawn('', name)
    ]
    assert unaware == []


@then('every promise holds')
def check_promises(stage):
    assert stage.end() == []
