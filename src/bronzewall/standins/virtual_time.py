"""Event loop whose time advances when idle, for deterministic runs."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_EPOCH_S = 1e9
_ResultT = TypeVar('_ResultT')


class VirtualTimeStalledError(RuntimeError):
    """All tasks are waiting and no timer is set, so time cannot advance."""


class _AdvancingSelector(selectors.SelectSelector):
    """Selector that advances virtual time in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = float(0)

    def select(self, timeout: float | None = None) -> Any:
        """Return the ready files; advance time instead of waiting for them."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise VirtualTimeStalledError
        self.now += max(timeout, 0)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time."""

    def __init__(self) -> None:
        """Start at time 0."""
        self._advancing_selector = _AdvancingSelector()
        super().__init__(self._advancing_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._advancing_selector.now


class VirtualClock:
    """Clock port on the running loop's virtual time.

    :param offset: seconds added, to give each VM its own clock.
    """

    def __init__(self, *, offset: float = 0) -> None:
        """Set the offset."""
        self.offset = offset

    def now(self) -> float:
        """Return monotonic seconds."""
        return asyncio.get_running_loop().time() + self.offset

    def wall(self) -> float:
        """Return seconds as if the loop had started at Unix time 10**9."""
        return _EPOCH_S + asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """Wait in virtual time."""
        await asyncio.sleep(seconds)


def run_virtual(main: Coroutine[Any, Any, _ResultT]) -> _ResultT:
    """Run a coroutine to its end on virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
