"""Background tasks that run as long as the daemon."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

LOGGER = logging.getLogger(__name__)


class SupervisedTasks:
    """Background tasks of one daemon, cancelled together.

    The daemon ends if a task fails: without one of its loops the daemon would
    continue with stale state.

    :ivar failed: future that raises the error of the first failed task.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self.failed: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    def start(self, name: str, endless: Coroutine[Any, Any, None]) -> None:
        """Start a coroutine that runs until cancelled, under a name."""
        task = asyncio.get_running_loop().create_task(endless, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            return
        LOGGER.error(
            'background task failed',
            extra={'task': task.get_name()},
            exc_info=error,
        )
        if not self.failed.done():
            self.failed.set_exception(error)
