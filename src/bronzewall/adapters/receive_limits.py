"""Limits on the bytes of answers that are being received."""

import math
from collections.abc import Callable

import attrs
import structlog

# Headers, chunk sizes and trailers of an answer may add this to its body, as a
# fraction of it and in bytes.
_FRAMING_FRACTION = 0.25
_FRAMING_BYTES = 65_536
_LOG = structlog.get_logger()


@attrs.frozen(kw_only=True)
class ReceiveLimits:
    """Limits of one client.

    :param head_bytes: bytes before the end of the final header block,
        including interim answers.
    :param answer_bytes: bytes of one body; no limit for answers that are
        passed on while they are received.
    :param total_bytes: bytes of all answers in progress together.
    """

    head_bytes: int = 32_768
    answer_bytes: float = math.inf
    total_bytes: float = math.inf

    @property
    def exchange_bytes(self) -> float:
        """Bytes of one answer with its framing."""
        return self.answer_bytes * (1 + _FRAMING_FRACTION) + _FRAMING_BYTES


@attrs.define(kw_only=True, eq=False)
class ReceivedBytes:
    """Counts the bytes of the answers in progress on all connections.

    While they exceed the total, the largest answer is ended. An endless
    answer is soon the largest one, so the others can be completed.
    """

    limits: ReceiveLimits
    total: int = 0
    _bytes_by_connection: dict[object, int] = attrs.field(factory=dict)
    _abort_by_connection: dict[object, Callable[[str], None]] = attrs.field(
        factory=dict
    )

    def start(self, connection: object, abort: Callable[[str], None]) -> None:
        """Start to count an answer.

        :param abort: ends the answer; gets the reason.
        """
        self.stop(connection)
        self._bytes_by_connection[connection] = 0
        self._abort_by_connection[connection] = abort

    def stop(self, connection: object) -> None:
        """Forget an answer that has ended."""
        self.total -= self._bytes_by_connection.pop(connection, 0)
        self._abort_by_connection.pop(connection, None)

    def add(self, connection: object, count: int) -> None:
        """Count bytes, and end the answers that exceed a limit."""
        if connection not in self._bytes_by_connection:
            return
        self.total += count
        self._bytes_by_connection[connection] += count
        received = self._bytes_by_connection[connection]
        if received > self.limits.exchange_bytes:
            self._end(connection, 'answer exceeds its limit')
        while self.total > self.limits.total_bytes:
            largest = max(
                self._bytes_by_connection,
                key=self._bytes_by_connection.__getitem__,
            )
            self._end(largest, 'answers in progress exceed their limit')

    def _end(self, connection: object, cause: str) -> None:
        received = self._bytes_by_connection[connection]
        abort = self._abort_by_connection[connection]
        self.stop(connection)
        _LOG.warning('answer_too_large', cause=cause, received=received)
        abort(f'{cause}: {received} bytes received')
