"""Random fault schedules for a site, reproducible by seed."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from fakes.faults import Fault
from fakes.stage import SiteRunner
from ragwortcourse.messages.withdrawal import WithdrawalScope

STEPS: Final = 10
LONGEST_PAUSE_SECONDS: Final = 2.0
LAST_SECONDS: Final = 8.0
VERSIONS: Final = ('v1', 'v2')
PLATFORM_FAULTS: Final = (
    Fault.DOWN,
    Fault.REFUSED,
    Fault.ANSWER_LOST,
    Fault.SLOW,
    Fault.GARBAGE,
)

Action = Callable[[], str]


def run_schedule(stage: SiteRunner, seed: int) -> list[str]:
    """Inject random faults, end them and give all calls time to finish.

    :return: time and description of each action.
    """
    rng = random.Random(seed)
    stage.run(stage.site.publish(VERSIONS[-1]))
    actions = build_actions(stage, rng)
    played = []
    for _ in range(STEPS):
        # Some steps inject two faults at once.
        for _ in range(rng.choice((1, 1, 2))):
            action = rng.choice(actions)
            played.append(f'{stage.now:.2f} {action()}')
        pause = rng.uniform(0, LONGEST_PAUSE_SECONDS)
        stage.run(asyncio.sleep(pause))
    stage.repair_faults()
    stage.resend_cut()
    stage.run(asyncio.sleep(LAST_SECONDS))
    return played


def build_actions(stage: SiteRunner, rng: random.Random) -> tuple[Action, ...]:
    """Build the faults and the changes by operators to choose from.

    An action that is listed twice is chosen twice as often.
    """
    domains = stage.site.plan.failure_domains

    def pick_host() -> str:
        return rng.choice(sorted(stage.site.residents))

    def kill() -> str:
        name = pick_host()
        if stage.site.residents[name].host.alive:
            stage.kill(name)
        else:
            stage.restart(name)
        return f'kill or restart {name}'

    def freeze() -> str:
        name = pick_host()
        if stage.site.residents[name].host.thawed.is_set():
            stage.site.freeze(name)
        else:
            stage.site.thaw(name)
        return f'freeze or thaw {name}'

    def kill_engine() -> str:
        name = rng.choice(sorted(stage.site.engines))
        stage.kill_engine(name)
        return f'engine of {name} dies'

    def cut() -> str:
        name = rng.choice(domains)
        stage.cut_off(name, platform=rng.random() < 1 / 2)
        return f'cut {name}'

    def heal() -> str:
        stage.site.wire.heal()
        stage.site.break_platform(None)
        return 'heal'

    def break_platform() -> str:
        fault = rng.choice(PLATFORM_FAULTS)
        where = rng.choice((None, *domains))
        stage.site.break_platform(fault, failure_domain=where)
        return f'platform {fault} for {where}'

    def change_domain() -> str:
        name = rng.choice(domains)
        withdraw = rng.random() < 1 / 2
        stage.begin(stage.change_withdrawal(name, withdraw=withdraw))
        return f'{"withdraw" if withdraw else "return"} {name}'

    def change_target() -> str:
        name = rng.choice(sorted(stage.site.plan.targets))
        withdraw = rng.random() < 1 / 2
        scope = WithdrawalScope.TARGET
        stage.begin(
            stage.change_withdrawal(name, withdraw=withdraw, scope=scope)
        )
        return f'{"withdraw" if withdraw else "return"} {name}'

    def stop() -> str:
        name = pick_host()
        stage.begin(stage.site.replace(name))
        return f'stop and replace {name}'

    def deploy() -> str:
        version = rng.choice(VERSIONS)
        stage.begin(stage.site.deploy(version))
        return f'deploy {version}'

    def break_answer() -> str:
        name = rng.choice(sorted(stage.site.engines))
        fault = rng.choice(('lost', 'crossed', 'wrong_version', 'no_end'))
        setattr(stage.site.engines[name].faults, fault, 1)
        return f'{fault} at {name}'

    return (
        kill,
        kill,
        freeze,
        kill_engine,
        cut,
        heal,
        break_platform,
        change_domain,
        change_target,
        stop,
        stop,
        deploy,
        break_answer,
        break_answer,
    )
