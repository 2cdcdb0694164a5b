"""Notes what really ran at the targets, for the checks at the end."""

import collections
import dataclasses

from fakes.memory_engine import MemoryEngine
from fakes.wire import Host
from ragwortcourse.clock import read_clock
from ragwortcourse.engines.engine import (
    Engine,
    EngineRequest,
    EngineUnreached,
    StartOutcome,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Beginning:
    """Work begun at a target.

    :param key: idempotency key, or the attempt where there is none.
    :param at: monotonic seconds.
    :param load: share of what the target bears that runs with it.
    """

    target: str
    failure_domain: str
    key: str
    at: float
    load: float


class Witness:
    """Sees every piece of work that a target begins."""

    def __init__(self) -> None:
        self.beginnings: list[Beginning] = []

    def watch(self, name: str, host: Host, engine: MemoryEngine) -> Engine:
        """The port to a target, with every beginning noted."""
        port = engine.build()

        async def start(request: EngineRequest) -> StartOutcome:
            running = engine.load.running + 1
            beginning = Beginning(
                target=name,
                failure_domain=host.failure_domain,
                key=request.headers.get('idempotency-key', request.attempt),
                at=read_clock(),
                load=running / engine.load.read_bearable(),
            )
            self.beginnings.append(beginning)
            outcome = await port.start(request)
            if isinstance(outcome, EngineUnreached):
                self.beginnings.remove(beginning)
            return outcome

        return dataclasses.replace(port, start=start)

    def count_runs(self) -> collections.Counter[str]:
        """How often work of each key began."""
        return collections.Counter(each.key for each in self.beginnings)

    def list_since(self, at: float, failure_domain: str) -> list[Beginning]:
        """Work begun in a failure domain since a moment."""
        return [
            each
            for each in self.beginnings
            if each.at > at and each.failure_domain == failure_domain
        ]
