"""A store whose connections go silent one by one."""

import asyncio
from collections import Counter
from typing import Any

import attrs

from bronzewall.errors import StoreUnavailableError
from bronzewall.standins.memory_store import MemoryFleetStore

# Time limit of a call beyond the wait of a watch, as the adapter has it,
# seconds.
_CALL_LIMIT_S = 0.35


@attrs.define(kw_only=True, eq=False)
class SilentStore:
    """Port ``FleetStore`` over another one; calls on silent connections fail.

    A silent connection passes nothing on, and only the time limit of the call
    ends it. The next call opens a new connection.

    :param silent: names of watches whose connection goes silent.
    :param opened: number of watches by name.
    """

    store: MemoryFleetStore
    silent: set[str] = attrs.field(factory=set)
    opened: Counter[str] = attrs.field(factory=Counter)

    async def watch_configuration(self, **options: Any) -> Any:
        """Watch the configuration."""
        return await self._watch('watch_configuration', options)

    async def watch_instances(self, **options: Any) -> Any:
        """Watch the instances."""
        return await self._watch('watch_instances', options)

    def __getattr__(self, name: str) -> Any:
        """Return a method of the store that is never silent."""
        return getattr(self.store, name)

    async def _watch(self, name: str, options: dict[str, Any]) -> Any:
        """Pass a watch on; the silence also takes the answer to an open one."""
        self.opened[name] += 1
        ends_at = asyncio.get_running_loop().time() + options['wait']
        answer = await getattr(self.store, name)(**options)
        if name not in self.silent:
            return answer
        await asyncio.sleep(
            ends_at + _CALL_LIMIT_S - asyncio.get_running_loop().time()
        )
        self.silent.discard(name)
        raise StoreUnavailableError('no answer')
