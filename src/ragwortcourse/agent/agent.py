"""State shared by the parts of one agent."""

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
    """The agent of one target.

    :param settings: must have an agent section.
    :param holder: holds the configuration in force.
    :param engine: port to the target.
    :param daemon_port: port through which newer configuration documents are
        fetched from peers; none until the agent's routes are built.
    :raises ValueError: if the agent section is missing.
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
        self._read_transfer_progress: Callable[
            [], WeightTransferProgress | None
        ] = read_none
        self._background: set[asyncio.Task[None]] = set()
        self._is_stopped = False

    def set_transfer_progress_reader(
        self, read: Callable[[], WeightTransferProgress | None]
    ) -> None:
        """Set the source of the weight transfer progress in the status.

        :param read: returns the progress, none while no transfer runs.
        """
        self._read_transfer_progress = read

    def read_transfer_progress(self) -> WeightTransferProgress | None:
        """Return the progress of the weight transfer, or none."""
        return self._read_transfer_progress()

    def read_limits(self) -> TargetLimits:
        """Return the target's limits from the configuration in force."""
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
        """Return the refusal of new work, or none while work is accepted."""
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
        """Count running and queued requests on a version or its adapter."""
        return self.version_use.count(model, version, adapter)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work as a background task; discard the work after ``stop``."""
        if self._is_stopped:
            work.close()
            return
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def stop(self) -> None:
        """End all background tasks and accept no new ones."""
        self._is_stopped = True
        for task in tuple(self._background):
            await end_task(task)

    async def wait_for_background(self) -> None:
        """Return once no background task is left."""
        while self._background:
            await asyncio.wait(self._background)


def read_none() -> None:
    """Report that no weight transfer runs."""
