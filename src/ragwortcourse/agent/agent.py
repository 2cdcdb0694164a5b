"""Everything one agent holds."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from ragwortcourse.agent.attempt_records import AttemptRecords
from ragwortcourse.agent.gate import Gate
from ragwortcourse.agent.served import ServedVersions
from ragwortcourse.agent.suspects import CrashSuspects
from ragwortcourse.agent.version_use import VersionUse
from ragwortcourse.agent.warmup import SlowStartLimit
from ragwortcourse.configuration.deployment import Deployment
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.configuration.limits import TargetLimits
from ragwortcourse.detached_tasks import end_task
from ragwortcourse.engines.engine import Engine
from ragwortcourse.identifiers import AdapterName, ModelName, VersionName
from ragwortcourse.messages.attempt import LEAVING
from ragwortcourse.messages.outcome import NotRun
from ragwortcourse.messages.peer_port import DaemonPort
from ragwortcourse.messages.target_status import WeightTransferProgress
from ragwortcourse.settings import AgentSettings, Settings

LEAVING_RETRY_SECONDS = 1.0


class Agent:
    """One target's agent.

    :param daemon_port: through which newer documents are fetched.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        holder: ConfigurationHolder,
        engine: Engine,
        daemon_port: DaemonPort | None = None,
    ) -> None:
        if settings.agent is None:
            raise ValueError('settings: [agent] is missing')
        self.settings = settings
        self.agent_settings: AgentSettings = settings.agent
        self.holder = holder
        self.engine = engine
        self.daemon_port = daemon_port
        self.served = ServedVersions()
        self.limit = SlowStartLimit(read_limits=self.read_limits)
        self.gate = Gate(
            read_limit=self.limit.read,
            read_queue_limit=lambda: self.read_limits().queue,
            find_admission_refusal=self.find_admission_refusal,
        )
        self.records = AttemptRecords()
        self.suspects = CrashSuspects()
        self.version_use = VersionUse()
        self.leaving = False
        self._read_landing: Callable[[], WeightTransferProgress | None] = (
            read_none
        )
        self._background: set[asyncio.Task[None]] = set()
        self._is_stopped = False

    def set_landing_reader(
        self, read: Callable[[], WeightTransferProgress | None]
    ) -> None:
        """Let the status tell of weights on their way.

        :param read: progress now; none while nothing is on its way.
        """
        self._read_landing = read

    def read_landing(self) -> WeightTransferProgress | None:
        """Progress of weights on their way, if there are any."""
        return self._read_landing()

    def read_limits(self) -> TargetLimits:
        """Limits that the configuration in force gives the target."""
        document = self.holder.document
        if document is None:
            return TargetLimits()
        configuration = document.configuration
        deployments: tuple[Deployment, ...] = (
            *configuration.models,
            *configuration.services,
        )
        for deployment in deployments:
            if deployment.name == self.agent_settings.deployment:
                return deployment.limits
        return TargetLimits()

    def find_admission_refusal(self) -> NotRun | None:
        """None while new work is taken, else its refusal."""
        if self.leaving:
            return NotRun(
                code=LEAVING,
                detail=f'target {self.agent_settings.target} is leaving',
                retry_after=LEAVING_RETRY_SECONDS,
            )
        withdrawn = self.holder.is_withdrawn(
            self.agent_settings.target, self.settings.failure_domain
        )
        if withdrawn:
            return NotRun(
                code='withdrawn',
                detail=f'target {self.agent_settings.target} is withdrawn',
                retry_after=LEAVING_RETRY_SECONDS,
            )
        return None

    def count_running(
        self,
        model: ModelName,
        version: VersionName,
        adapter: AdapterName | None,
    ) -> int:
        """Requests under way or waiting on a version or its adapter."""
        return self.version_use.count(model, version, adapter)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Go on with work that nobody waits for."""
        if self._is_stopped:
            work.close()
            return
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def stop(self) -> None:
        """End the work that nobody waits for."""
        self._is_stopped = True
        for task in tuple(self._background):
            await end_task(task)

    async def wait_for_background(self) -> None:
        """Return once no work is left that nobody waits for."""
        while self._background:
            await asyncio.wait(self._background)


def read_none() -> None:
    """No weights on their way."""
