"""Tasks that nobody waits for, a bounded number of them."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

BACKGROUND_LIMIT: Final = 64


async def end_task(task: asyncio.Task[Any] | None) -> None:
    """Cancel a task, if there is one, and wait for its end."""
    if task is not None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


class DetachedTasks:
    """Tasks under way; those beyond the limit are not begun.

    :param limit: tasks at once.
    """

    def __init__(self, *, limit: int = BACKGROUND_LIMIT) -> None:
        self._limit = limit
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> bool:
        """Begin work beside the rest; say whether there was room."""
        if len(self._tasks) >= self._limit:
            work.close()
            return False
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def cancel(self) -> None:
        """End everything that is under way."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
