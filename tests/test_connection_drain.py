"""End of the connections in a planned stop, with every order of events."""

import asyncio
import itertools
from typing import Any

import attrs
import pytest

from bronzewall.connection_drain import ConnectionDrain
from bronzewall.standins.virtual_time import VirtualClock, run_virtual

_NOTICE_S = 1.0
_LIMIT_S = 5.0
_WORK_S = 0.3


@attrs.define(kw_only=True, eq=False)
class Connection:
    """A caller's connection.

    :param is_new: its first request is on its way.
    """

    is_new: bool = False
    has_request: bool = False


@attrs.define(kw_only=True, eq=False)
class Entry:
    """Port ``DrainedEntry`` in memory; records requests by their outcome."""

    is_listening: bool = True
    opened: list[Connection] = attrs.field(factory=list)
    answered: int = 0
    accepted: int = 0

    def connections(self) -> list[Connection]:
        return self.opened

    def close_idle(self) -> int:
        idle = [
            one for one in self.opened if not one.is_new and not one.has_request
        ]
        for one in idle:
            self.opened.remove(one)
        return len(idle)

    def has_unsent_answers(self) -> bool:
        return False

    async def stop_listening(self) -> None:
        # A connection may be accepted in the last moment.
        await asyncio.sleep(0)
        self.is_listening = False

    def count_requests(self) -> int:
        return sum(one.has_request for one in self.opened)

    async def call(self, *, connect_at: float, ask_at: float) -> None:
        """Connect, and ask for once later, unless the connection is closed."""
        await asyncio.sleep(connect_at)
        if not self.is_listening:
            return
        connection = Connection(is_new=True)
        self.opened.append(connection)
        await asyncio.sleep(ask_at)
        if connection not in self.opened:
            return
        connection.has_request = True
        self.accepted += 1
        await asyncio.sleep(_WORK_S)
        connection.has_request = False
        connection.is_new = False
        self.answered += 1


def a_drain(entry: Entry, **changes: Any) -> ConnectionDrain:
    """Return the drain of an entry."""
    return ConnectionDrain(
        clock=VirtualClock(),
        entry=entry,
        count_requests=entry.count_requests,
        notice=_NOTICE_S,
        limit=_LIMIT_S,
        **changes,
    )


# Guards against a request that is accepted between the last look of a stop and
# its end.
@pytest.mark.parametrize(
    ('connect_at', 'ask_at'),
    list(
        itertools.product(
            [0, 0.9, 0.999, 1.0, 1.0001, 1.04999, 1.05, 1.2], [0, 0.05, 0.7]
        )
    ),
)
def test_accepted_requests_are_answered(
    connect_at: float, ask_at: float
) -> None:
    async def play() -> None:
        entry = Entry()
        calls = asyncio.create_task(
            entry.call(connect_at=connect_at, ask_at=ask_at)
        )
        assert await a_drain(entry).run()
        assert entry.answered == entry.accepted
        assert not entry.opened
        assert not entry.is_listening
        await calls

    run_virtual(play())


# Guards against a stop that lasts beyond its limit.
def test_stop_ends_at_its_limit() -> None:
    async def play() -> None:
        entry = Entry(opened=[Connection(has_request=True)])
        assert not await a_drain(entry).run()
        assert VirtualClock().now() == pytest.approx(_LIMIT_S, abs=0.06)

    run_virtual(play())


# Guards against a second signal that does not end a stop at once.
def test_forced_stop_ends_at_once() -> None:
    async def play() -> None:
        entry = Entry(opened=[Connection(has_request=True)])
        clock = VirtualClock()
        drain = a_drain(entry, is_forced=lambda: clock.now() > 0.5)
        assert not await drain.run()
        assert clock.now() < 0.6

    run_virtual(play())
