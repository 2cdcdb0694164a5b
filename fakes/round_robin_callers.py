"""Baseline callers: round robin without admission control or retries."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Iterator

from fakes.callers import Callers, CallResult, Ending, PartialAnswer, make_call
from fakes.site import Site
from fakes.site_plan import MODELS, SERVICE
from ragwortcourse.clock import read_clock
from ragwortcourse.engines.engine import (
    Engine,
    EngineAnswer,
    EngineBrokenError,
    EngineRequest,
)
from ragwortcourse.identifiers import AttemptId, RequestId, VersionName
from ragwortcourse.messages.outcome import OutcomeKind


class RoundRobinCallers(Callers):
    """Sends each call directly to the next target in round-robin order.

    :param lag: seconds until a withdrawal takes effect.
    """

    def __init__(self, *, site: Site, lag: float) -> None:
        super().__init__(site=site, rng=random.Random(1))
        self._lag = lag
        self._withdrawn_at: dict[str, float] = {}
        self._rotations = {
            deployment: itertools.cycle(
                target.name
                for target in site.plan.targets.values()
                if target.deployment == deployment
            )
            for deployment in (MODELS, SERVICE)
        }
        self._numbers: Iterator[int] = itertools.count(1)
        self._ports = {
            name: site.run_recorder.watch(
                name, site.residents[name].host, site.engines[name]
            )
            for name in site.plan.targets
        }

    async def send(
        self,
        *,
        is_charge: bool,
        entry: str | None = None,
        key: str | None = None,
        body: bytes | None = None,
    ) -> CallResult:
        """Send one call and record its result."""
        number = next(self._numbers)
        if is_charge:
            key = key or f'turn-{number}'
        request = RequestId(f'turn-{number}')
        call = make_call(request, key, body)
        began = read_clock()
        target = self._next_target(is_charge=is_charge)
        asked = EngineRequest(
            attempt=AttemptId(request),
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            version=None if is_charge else VersionName('v1'),
        )
        partial = PartialAnswer(ending=Ending.ERROR)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(call.time_left):
                await read_answer(self._ports[target], asked, partial)
        result = CallResult(
            request=request,
            entry='',
            ending=partial.ending,
            began_at=began,
            ended_at=read_clock(),
            first_at=partial.first_at,
            key=key,
            outcome=OutcomeKind.UNKNOWN
            if partial.ending is Ending.ERROR
            else None,
            body=bytes(partial.body),
        )
        self.results.append(result)
        return result

    def _next_target(self, *, is_charge: bool) -> str:
        rotation = self._rotations[SERVICE if is_charge else MODELS]
        for _ in self.site.plan.targets:
            target = next(rotation)
            if not self._is_withdrawn(target):
                break
        return target

    def _is_withdrawn(self, target: str) -> bool:
        domain = self.site.plan.targets[target].failure_domain
        holder = self.site.residents[target].agent
        if holder is None:
            return False
        name = self.site.plan.name_domain(domain)
        agent = holder.agent
        withdrawn = agent.holder.is_withdrawn(agent.agent_settings.target, name)
        if not withdrawn:
            self._withdrawn_at.pop(domain, None)
            return False
        since = self._withdrawn_at.setdefault(domain, read_clock())
        return read_clock() - since > self._lag


async def read_answer(
    port: Engine, asked: EngineRequest, partial: PartialAnswer
) -> None:
    """Read a target's answer into ``partial``.

    The ending of ``partial`` changes only once the answer has ended.
    """
    outcome = await port.start(asked)
    if not isinstance(outcome, EngineAnswer):
        return
    try:
        async for chunk in outcome.body:
            partial.first_at = partial.first_at or read_clock()
            partial.body += chunk
    except EngineBrokenError:
        partial.ending = Ending.ERROR_EVENT
        return
    finally:
        await outcome.body.aclose()  # type: ignore[attr-defined]
    partial.ending = Ending.COMPLETE
