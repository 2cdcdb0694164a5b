"""Background tasks without a waiter, in bounded number."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

DEFAULT_TASK_LIMIT: Final = 64


async def end_task(task: asyncio.Task[Any] | None) -> None:
    """Cancel a task and wait until it has ended; do nothing for none."""
    if task is not None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


class DetachedTasks:
    """Background tasks; a task beyond the limit is not started.

    :param limit: greatest number of tasks at a time.
    """

    def __init__(self, *, limit: int = DEFAULT_TASK_LIMIT) -> None:
        self._limit = limit
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> bool:
        """Start a task; return false if the limit is reached."""
        if len(self._tasks) >= self._limit:
            work.close()
            return False
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def cancel(self) -> None:
        """Cancel all running tasks and wait until they have ended."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
