"""Tasks that outlive the request that started them."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs


@attrs.define(kw_only=True, eq=False)
class BackgroundTasks:
    """Running tasks, with a limit on starting more.

    :param limit: number of running tasks at which ``start`` drops further
        ones; ``keep`` is not limited.
    :param dropped: number of tasks that ``start`` dropped.
    """

    limit: int = 10_000
    dropped: int = 0
    _tasks: set[asyncio.Task[Any]] = attrs.field(factory=set)

    def __len__(self) -> int:
        """Return the number of running tasks."""
        return len(self._tasks)

    def start(self, work: Coroutine[Any, Any, None]) -> bool:
        """Start a task unless the limit is reached.

        :returns: whether the task was started.
        """
        if len(self._tasks) >= self.limit:
            self.dropped += 1
            work.close()
            return False
        self.add(asyncio.create_task(work))
        return True

    def add(self, task: asyncio.Task[Any]) -> None:
        """Hold a reference to a task until it ends, whatever the limit."""
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def cancel(self) -> None:
        """Cancel all tasks and wait for their end."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Retrieving the exception keeps asyncio from logging it as never
            # retrieved. A caller that awaits the task still gets it.
            task.exception()
