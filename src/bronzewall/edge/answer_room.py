"""Memory for answers that callers have not taken yet, fair over callers."""

import contextlib
from collections import Counter
from collections.abc import Iterator

import attrs
import structlog

from bronzewall.edge.exchange import EdgeExchange
from bronzewall.metrics import Metrics
from bronzewall.ports import Clock
from bronzewall.problems import Reason
from bronzewall.types import RouteId

# Answers below this size are not counted, bytes: Linux gives every TCP
# connection this much send buffer, and descriptors bound the connections.
_COUNTED_BYTES = 16_384
# The size that is expected of a route's answers falls by this factor with each
# smaller answer. The largest recent one counts, since a mean would let large
# answers among many small ones exceed the room.
_SIZE_DECAY = 0.9
# Time between two looks at what callers have taken, seconds; each costs one
# system call for an answer.
_LOOK_INTERVAL_S = 0.1
# Retry-After of refused requests, seconds; another VM may have room.
_RETRY_AFTER_S = 0.5
_LOG = structlog.get_logger()


@attrs.frozen(kw_only=True)
class RoomUser:
    """Who shares the room: a client account on one route."""

    account: str
    route: RouteId


@attrs.define(kw_only=True, eq=False)
class HeldAnswer:
    """Memory that one request takes.

    :param size: bytes that are reserved, and later those that the caller has
        not taken.
    :param is_handed_over: its last byte is in the kernel's send buffer.
    """

    user: RoomUser
    exchange: EdgeExchange
    size: int
    is_handed_over: bool = False


@attrs.define(kw_only=True, eq=False)
class AnswerRoom:
    """Admits requests while their answers find room.

    A user may hold as much as is still free for all others. One that holds
    much alone thus gets half of the room, and of several each gets an equal
    part, while an equal part always stays free for the next one. No share is
    set aside for users that need none.

    :param limit: bytes of all answers together.
    """

    clock: Clock
    metrics: Metrics
    limit: int
    total: int = 0
    _held: set[HeldAnswer] = attrs.field(factory=set)
    _bytes_by_user: Counter[RoomUser] = attrs.field(factory=Counter)
    _size_by_route: dict[RouteId, float] = attrs.field(factory=dict)
    _looked_at: float = 0

    @contextlib.contextmanager
    def hold(self, exchange: EdgeExchange) -> Iterator[HeldAnswer]:
        """Reserve room for the answer until the caller has taken it.

        :raises RefusalError: there is none; nothing has run.
        """
        account = exchange.account
        held = HeldAnswer(
            user=RoomUser(
                account=account.account_id if account else '',
                route=exchange.route.route_id,
            ),
            exchange=exchange,
            size=0,
        )
        self._admit(held, int(self._size_by_route.get(held.user.route, 0)))
        try:
            yield held
        finally:
            held.is_handed_over = True
            self._resize(held, _untaken(held))

    def record_answer(self, held: HeldAnswer, size: int) -> None:
        """Count an answer that has arrived from an instance.

        It is delivered whether it finds room or not.
        """
        route = held.user.route
        expected = self._size_by_route.get(route, 0) * _SIZE_DECAY
        self._size_by_route[route] = max(size, expected)
        self._resize(held, size)

    def _admit(self, held: HeldAnswer, needed: int) -> None:
        if needed < _COUNTED_BYTES:
            return
        self._look()
        in_use = self._bytes_by_user[held.user]
        if in_use + needed <= self.limit - self.total:
            self._resize(held, needed)
            return
        self.metrics.events['answer_room_refused'] += 1
        _LOG.info(
            'answer_room_full',
            request_id=held.exchange.request_id,
            route=held.user.route,
            account=held.user.account,
            in_use=in_use,
            total=self.total,
            needed=needed,
        )
        raise held.exchange.refusal(
            Reason.OVERLOADED,
            detail=(
                f'{in_use} bytes wait for this caller, {self.total} of'
                f' {self.limit} for all, {needed} more are expected'
            ),
            retry_after=_RETRY_AFTER_S,
        )

    def _look(self) -> None:
        """Release what callers have taken since the last look."""
        now = self.clock.now()
        if now - self._looked_at < _LOOK_INTERVAL_S:
            return
        self._looked_at = now
        for held in tuple(self._held):
            if held.is_handed_over:
                self._resize(held, _untaken(held))

    def _resize(self, held: HeldAnswer, size: int) -> None:
        """Count a new size; a small answer is not held any more."""
        size = size if size >= _COUNTED_BYTES else 0
        added = size - held.size
        held.size = size
        self.total += added
        self._bytes_by_user[held.user] += added
        if size:
            self._held.add(held)
            return
        self._held.discard(held)
        if not self._bytes_by_user[held.user]:
            del self._bytes_by_user[held.user]


def _untaken(held: HeldAnswer) -> int:
    """Return the bytes of an answer that the caller has not taken.

    Its connection may hold those of the next answer too, but not more than
    its own size counts here.
    """
    return min(held.size, held.exchange.request.untaken())
