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

    :param failing_operation: number of the operation that fails, from 1.
    :param operations: operations started so far.
    :param delayed_writes: tasks of the delayed writes.
    """

    failing_operation: int = 0
    fault: str = ''
    operations: int = 0
    delayed_writes: list['asyncio.Task[None]'] = attrs.field(factory=list)

    async def transact(
        self, *, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> None:
        """Write; the failing operation loses its answer or writes late."""
        is_failing = self.operations + 1 == self.failing_operation
        if is_failing and self.fault == 'lost':
            self.faults.lose_answers = 1
        if is_failing and self.fault == 'late':
            self.operations += 1
            write = super().transact(checks=checks, writes=writes)
            self.delayed_writes.append(
                asyncio.create_task(self._write_later(write))
            )
            raise StoreAnswerLostError('late')
        await super().transact(checks=checks, writes=writes)

    async def operate(self) -> None:
        """Count the operation; fail if it is the failing one."""
        self.operations += 1
        if self.operations != self.failing_operation:
            return
        if self.fault == 'down':
            raise StoreUnavailableError('down')
        if self.fault == 'hang':
            await self.clock.sleep(_HANG_S)

    async def _write_later(self, write: Coroutine[Any, Any, None]) -> None:
        await self.clock.sleep(_LATE_WRITE_DELAY_S)
        await write
