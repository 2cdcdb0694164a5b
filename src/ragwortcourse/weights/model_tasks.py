"""Background tasks, in bounded number for each model."""

from collections.abc import Coroutine
from typing import Any

from ragwortcourse.detached_tasks import DetachedTasks
from ragwortcourse.identifiers import ModelName


class ModelTasks:
    """Background tasks whose limit applies to each model separately.

    :param limit: greatest number of tasks of a model at a time.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._by_model: dict[ModelName, DetachedTasks] = {}

    def spawn(self, model: ModelName, work: Coroutine[Any, Any, Any]) -> bool:
        """Start a task; return false if the model's limit is reached."""
        tasks = self._by_model.setdefault(
            model, DetachedTasks(limit=self._limit)
        )
        return tasks.spawn(work)

    async def cancel(self) -> None:
        """Cancel all running tasks and wait until they have ended."""
        for tasks in tuple(self._by_model.values()):
            await tasks.cancel()
