"""Record of the work that started at targets, for checks after a run."""

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
class RunStart:
    """Start of work at a target.

    :param key: idempotency key, or the attempt id if there is none.
    :param at: monotonic seconds.
    :param load: ratio of running requests, this one included, to the
        target's capacity.
    """

    target: str
    failure_domain: str
    key: str
    at: float
    load: float


class RunRecorder:
    """Records each start of work at a target."""

    def __init__(self) -> None:
        self.run_starts: list[RunStart] = []

    def watch(self, name: str, host: Host, engine: MemoryEngine) -> Engine:
        """Build the port to a target, with each start of work recorded.

        A request that does not reach the engine is not recorded.
        """
        port = engine.build()

        async def start(request: EngineRequest) -> StartOutcome:
            running = engine.load.running + 1
            run_start = RunStart(
                target=name,
                failure_domain=host.failure_domain,
                key=request.headers.get('idempotency-key', request.attempt),
                at=read_clock(),
                load=running / engine.load.read_capacity(),
            )
            self.run_starts.append(run_start)
            outcome = await port.start(request)
            if isinstance(outcome, EngineUnreached):
                self.run_starts.remove(run_start)
            return outcome

        return dataclasses.replace(port, start=start)

    def count_runs(self) -> collections.Counter[str]:
        """Count the starts of work of each key."""
        return collections.Counter(each.key for each in self.run_starts)

    def list_since(self, at: float, failure_domain: str) -> list[RunStart]:
        """List the work started in a failure domain after a time."""
        return [
            each
            for each in self.run_starts
            if each.at > at and each.failure_domain == failure_domain
        ]
