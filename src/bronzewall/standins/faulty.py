"""In-memory platform that fails at one chosen operation."""

import asyncio
from collections.abc import Coroutine, Sequence
from typing import Any

import attrs

from bronzewall.errors import StoreAnswerLostError, StoreUnavailableError
from bronzewall.standins.memory import MemoryPlatform
from bronzewall.types import RowCheck, RowWrite

_FOREVER_S = 3600
_LATE_S = 0.05


@attrs.define(kw_only=True)
class FaultyPlatform(MemoryPlatform):
    """Fails at one operation, counted from 1.

    Faults: ``down`` does nothing, ``lost`` loses the answer, ``late``
    loses it and writes after a while, ``hang`` never answers.
    """

    step: int = 0
    fault: str = ''
    operations: int = 0
    late: list['asyncio.Task[None]'] = attrs.field(factory=list)

    async def transact(
        self, *, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> None:
        """Write, lose the answer or write late."""
        is_hit = self.operations + 1 == self.step
        if is_hit and self.fault == 'lost':
            self.faults.lose_answers = 1
        if is_hit and self.fault == 'late':
            self.operations += 1
            write = super().transact(checks=checks, writes=writes)
            self.late.append(asyncio.create_task(self._later(write)))
            raise StoreAnswerLostError('late')
        await super().transact(checks=checks, writes=writes)

    async def operate(self) -> None:
        """Fail at the step that was chosen."""
        self.operations += 1
        if self.operations != self.step:
            return
        if self.fault == 'down':
            raise StoreUnavailableError('down')
        if self.fault == 'hang':
            await self.clock.sleep(_FOREVER_S)

    async def _later(self, write: Coroutine[Any, Any, None]) -> None:
        await self.clock.sleep(_LATE_S)
        await write
