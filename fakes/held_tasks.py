"""Tasks of one process in the event loop of a test, held and ended at once."""

import asyncio
import contextvars
from collections.abc import Coroutine
from typing import Any

from fakes.suspension import Suspension


class HeldTasks:
    """All tasks that the first tasks of a process start, and these.

    The event loop needs :func:`make_task` as its task factory.

    :ivar suspension: holds them.
    """

    def __init__(self) -> None:
        self.suspension = Suspension()
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, *works: Coroutine[Any, Any, None]) -> None:
        """Start the first tasks."""
        context = contextvars.Context()
        context.run(HOLDER.set, self)
        for work in works:
            asyncio.create_task(work, context=context)  # noqa: RUF006

    def keep(self, task: asyncio.Task[Any]) -> None:
        """Note a task of this process."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def kill(self) -> None:
        """End all tasks, also held ones."""
        self.suspension.resume()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


HOLDER: contextvars.ContextVar[HeldTasks] = contextvars.ContextVar('HOLDER')


def make_task(
    loop: asyncio.AbstractEventLoop,
    work: Coroutine[Any, Any, Any],
    context: contextvars.Context | None = None,
) -> asyncio.Task[Any]:
    """Make a task, which belongs to the process that makes it."""
    holder = HOLDER.get(None) if context is None else context.get(HOLDER, None)
    if holder is None:
        return asyncio.Task(work, loop=loop, context=context)
    task = asyncio.Task(holder.suspension.run(work), loop=loop, context=context)
    # A task that is cancelled before it starts leaves its coroutine open.
    task.add_done_callback(lambda _: work.close())
    holder.keep(task)
    return task
