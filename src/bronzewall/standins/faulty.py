"""In-memory platform that fails at one given operation."""

import asyncio
from collections.abc import Coroutine, Sequence
from typing import Any

import attrs

from bronzewall.errors import StoreAnswerLostError, StoreUnavailableError
from bronzewall.standins.memory import MemoryPlatform
from bronzewall.types import RowCheck, RowWrite

_HANG_S = 3600
_LATE_WRITE_DELAY_S = 0.05


@attrs.define(kw_only=True)
class FaultyPlatform(MemoryPlatform):
    """Injects a fault at one operation.

    Faults: ``down`` does not run the operation, ``lost`` loses the answer,
    ``late`` loses it and writes later, ``hang`` never answers.

    :param step: number of the operation that fails, from 1.
    :param operations: operations started so far.
    :param late: tasks of the delayed writes.
    """

    step: int = 0
    fault: str = ''
    operations: int = 0
    late: list['asyncio.Task[None]'] = attrs.field(factory=list)

    async def transact(
        self, *, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> None:
        """Write; lose the answer or delay the write at the chosen step."""
        is_failing = self.operations + 1 == self.step
        if is_failing and self.fault == 'lost':
            self.faults.lose_answers = 1
        if is_failing and self.fault == 'late':
            self.operations += 1
            write = super().transact(checks=checks, writes=writes)
            self.late.append(asyncio.create_task(self._write_later(write)))
            raise StoreAnswerLostError('late')
        await super().transact(checks=checks, writes=writes)

    async def operate(self) -> None:
        """Count the operation and fail at the chosen step."""
        self.operations += 1
        if self.operations != self.step:
            return
        if self.fault == 'down':
            raise StoreUnavailableError('down')
        if self.fault == 'hang':
            await self.clock.sleep(_HANG_S)

    async def _write_later(self, write: Coroutine[Any, Any, None]) -> None:
        await self.clock.sleep(_LATE_WRITE_DELAY_S)
        await write
