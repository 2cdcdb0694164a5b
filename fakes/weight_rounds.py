"""Rounds in which an engine gets versions while calls to it are done late.

Each round draws from its seed when operators announce versions, and when the
engine of one loader is silent or slow, crashes, performs calls late or never,
when staged chunks rot, and when the loader stands still or is restarted. No
accepted order may load a chunk that is missing or of another version, or that
rotted too long before. Once all trouble has ended, the engine holds the
newest version within the bound. Play many in virtual time with
``python -m fakes.weight_rounds --seeds 200``.
"""

import asyncio
import collections
import random
from collections.abc import Awaitable, Callable, Iterator, Sequence

import click

from fakes.fleet_parts import FLEET, MODEL
from fakes.held_tasks import make_task
from fakes.late_engine import LOADING_SECONDS, PROMPT_SECONDS, LateEngine
from fakes.load_cause import LoadCause
from fakes.load_finding import LoadFinding
from fakes.loader_host import make_chunk, make_manifest
from fakes.round_loader import CHUNKS, RoundLoader, RoundSite, make_desired
from fakes.virtual_clocks import run_in_virtual_time
from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.named_weights import AnnouncedVersion

QUIET_SECONDS = 3.0
# Troubles begin within this time from the first announcement.
TROUBLED_SECONDS = 16.0
SAMPLE_SECONDS = 0.05
# An engine has loaded a version by the bound of its announcement. When all
# trouble ends, a loader may be as far as if the version were announced then:
# all of it is to be downloaded, staged and loaded. An engine that is ordered
# at the bound has still to load.
BOUND_SECONDS = FLEET.version_ms / 1000 + LOADING_SECONDS + 0.2
# How long a version that is overdue is waited for.
OVERDUE_SECONDS = 30.0
GAPS = (0.3, 1.0, 2.0, 3.0, 5.0, 9.0)
DOWN_SECONDS = (0.3, 1.0, 2.0, 4.0)
ORDERS_LOST = (0.3, 0.6, 0.9)
WRITES_LOST = (0.0, 0.0, 0.05, 0.3)
CALL_SECONDS = (0.05, 0.3, 0.9)
LINKS_MBPS = (0.05, 0.1, 0.4, 4.7)
ENGINES_MOST = 12
CALM_SHARE = 0.1
OUTLIVING_SHARE = 0.25

Trouble = Callable[[], Awaitable[None]]


class WeightRound:
    """One engine, its loader and an operator.

    :ivar findings: what broke a promise.
    :ivar troubles: what happened, in order of time.
    """

    def __init__(self, seed: int) -> None:
        self.findings: list[LoadFinding] = []
        self.troubles: list[str] = []
        self._operating = random.Random(f'{seed} operate')
        self._disturbing = random.Random(f'{seed} disturb')
        setting = random.Random(f'{seed} set')
        addresses = [
            f'10.0.0.{number + 1}:1'
            for number in range(setting.randint(1, ENGINES_MOST))
        ]
        self._outliving = setting.random() < OUTLIVING_SHARE
        self._engine = LateEngine(
            rng=random.Random(f'{seed} engine'),
            judge=self._judge,
            tell=self._tell,
            outliving=self._outliving,
        )
        self._engine.running = setting.choice((0, 4, 16))
        self._is_calm = setting.random() < CALM_SHARE
        self._site = RoundSite(
            engine=self._engine,
            state=FleetState(desired=make_desired()),
            addresses=addresses,
            own=setting.choice(addresses),
            link_mbps=setting.choice(LINKS_MBPS),
        )
        self._newest = AnnouncedVersion(version=1, seen_at=read_clock())
        if setting.random() < 0.8:
            for index in range(CHUNKS):
                self._engine.stage.write(index, make_chunk(1, index))
            self._engine.hold(1)
        self._loader: RoundLoader | None = None

    async def play(self) -> None:
        """Play the round and collect the findings."""
        # The type of factories still allows generators as work.
        asyncio.get_running_loop().set_task_factory(make_task)  # type: ignore[arg-type]
        self._start_loader()
        self._announce(1)
        await asyncio.sleep(QUIET_SECONDS)
        troubles = () if self._is_calm else tuple(self._plan_troubles())
        await asyncio.gather(self._operate(), *troubles)
        self._engine.watchers.clear()
        await self._engine.settle()
        self._tell('all trouble has ended')
        await self._check_end()
        if self._loader is not None:
            await self._loader.tasks.kill()
        await self._engine.settle()

    async def _check_end(self) -> None:
        due_at = max(read_clock(), self._newest.seen_at) + BOUND_SECONDS
        while read_clock() < due_at + OVERDUE_SECONDS:
            if self._engine.held == self._newest.version:
                break
            await asyncio.sleep(SAMPLE_SECONDS)
        late = read_clock() - due_at
        if late > 0:
            self._find(
                LoadCause.NOT_HELD,
                f'version {self._newest.version} after {late:.2f} s more, '
                f'holds {self._engine.held}',
            )

    def _start_loader(self) -> None:
        self._loader = RoundLoader(self._site)
        self._loader.start()

    def _announce(self, version: int) -> None:
        self._newest = AnnouncedVersion(version=version, seen_at=read_clock())
        known = self._site.state.weights.get(MODEL, ())
        self._site.state.weights[MODEL] = (*known, self._newest)
        self._tell(f'version {version} announced')

    async def _operate(self) -> None:
        for version in range(2, 2 + self._operating.randint(2, 6)):
            self._announce(version)
            await asyncio.sleep(self._operating.choice(GAPS))

    def _plan_troubles(self) -> Iterator[Awaitable[None]]:
        kinds: Sequence[Trouble] = (
            self._fall_silent,
            self._slow_down,
            self._crash,
            self._lose_power,
            self._rot,
            self._suspend_loader,
            self._restart_loader,
        )
        if self._disturbing.random() < 0.8:
            yield self._lose_calls(self._draw_start() / 2)
        for _ in range(self._disturbing.randint(1, 6)):
            kind = self._disturbing.choice(kinds)
            call = self._disturbing.choice(('', '', 'order', 'read', 'write'))
            yield self._disturb(kind, call, self._draw_start())

    def _draw_start(self) -> float:
        return self._disturbing.uniform(0, TROUBLED_SECONDS)

    async def _disturb(self, kind: Trouble, call: str, after: float) -> None:
        """Begin a trouble at a time, or at the next call of a kind then."""
        delay = self._disturbing.choice((0.0, 0.001, 0.05, 0.5))
        await asyncio.sleep(after)
        if call:
            await self._await_call(call)
            await asyncio.sleep(delay)
        await kind()

    async def _await_call(self, call: str) -> None:
        sent = asyncio.Event()

        def watch(name: str) -> None:
            if name == call:
                sent.set()

        self._engine.watchers.append(watch)
        try:
            async with asyncio.timeout(TROUBLED_SECONDS / 2):
                await sent.wait()
        except TimeoutError:
            self._tell(f'no {call} came')
        finally:
            self._engine.watchers.remove(watch)

    async def _lose_calls(self, after: float) -> None:
        shares = {
            'order': self._disturbing.choice(ORDERS_LOST),
            'write': self._disturbing.choice(WRITES_LOST),
        }
        seconds = self._disturbing.uniform(1, TROUBLED_SECONDS)
        await asyncio.sleep(after)
        self._tell(f'calls get no answer for {seconds:.2f} s: {shares}')
        self._engine.lost_shares = shares
        await asyncio.sleep(seconds)
        self._engine.lost_shares = {}

    async def _fall_silent(self) -> None:
        seconds = self._draw_seconds()
        self._tell(f'engine silent for {seconds} s')
        await self._engine.fall_silent(seconds)

    async def _slow_down(self) -> None:
        seconds = self._draw_seconds() * 2
        slow = self._disturbing.choice(CALL_SECONDS)
        self._tell(f'calls last up to {slow} s for {seconds} s')
        self._engine.call_seconds = slow
        await asyncio.sleep(seconds)
        self._engine.call_seconds = PROMPT_SECONDS

    async def _crash(self) -> None:
        self._tell('engine crashes')
        await self._engine.crash(self._draw_seconds())

    async def _lose_power(self) -> None:
        """End the engine and its loader, which are on one host."""
        self._tell('loss of power')
        self._engine.forget_calls()
        self._engine.stage.clear()
        await asyncio.gather(self._crash(), self._restart_loader())

    async def _rot(self) -> None:
        indexes = self._disturbing.sample(
            range(CHUNKS), self._disturbing.randint(1, 3)
        )
        self._tell(f'chunks {indexes} rot')
        for index in indexes:
            self._engine.stage.rot(index)

    async def _suspend_loader(self) -> None:
        loader = self._loader
        if loader is None:
            return
        seconds = self._draw_seconds()
        self._tell(f'loader suspended for {seconds} s')
        loader.tasks.suspension.suspend()
        await asyncio.sleep(seconds)
        loader.tasks.suspension.resume()

    async def _restart_loader(self) -> None:
        loader, self._loader = self._loader, None
        if loader is None:
            return
        self._tell('loader ends')
        await loader.tasks.kill()
        await asyncio.sleep(self._draw_seconds())
        self._tell('loader starts')
        self._start_loader()

    def _draw_seconds(self) -> float:
        return self._disturbing.choice(DOWN_SECONDS)

    def _judge(self, version: int, sent_at: float) -> None:
        wrong = dict(
            self._engine.stage.judge(make_manifest(version, CHUNKS), sent_at)
        )
        if wrong:
            causes = collections.Counter(wrong.values())
            mode = 'beyond a crash ' if self._outliving else ''
            self._find(
                causes.most_common(1)[0][0],
                f'{mode}version {version}, order sent {sent_at:.2f}, '
                f'chunks {sorted(wrong)}',
            )

    def _find(self, cause: LoadCause, detail: str) -> None:
        finding = LoadFinding(at=read_clock(), cause=cause, detail=detail)
        self.findings.append(finding)
        self.troubles.append(f'FOUND {finding}')

    def _tell(self, text: str) -> None:
        self.troubles.append(f'{read_clock():.2f} {text}')


def play_round(seed: int) -> WeightRound:
    """Play the round of a seed in virtual time."""
    return run_in_virtual_time(_play(seed))


async def _play(seed: int) -> WeightRound:
    played = WeightRound(seed)
    await played.play()
    return played


@click.command()
@click.option('--seeds', default=50, help='Number of rounds.')
@click.option('--first', default=1, help='Seed of the first round.')
def main(seeds: int, first: int) -> None:
    """Play rounds and print what happened in those with findings."""
    broken: dict[LoadCause, list[int]] = collections.defaultdict(list)
    for seed in range(first, first + seeds):
        played = play_round(seed)
        for finding in played.findings:
            broken[finding.cause].append(seed)
        if played.findings:
            click.echo(f'seed {seed}: {len(played.findings)} findings')
            for text in played.troubles:
                click.echo(f'  {text}')
    for cause, found in sorted(broken.items()):
        click.echo(f'{len(found)} findings: {cause}: seeds {found}')
    click.echo(
        f'{seeds} seeds, broken: {sorted(set().union(*broken.values()))}'
    )


if __name__ == '__main__':
    main()
