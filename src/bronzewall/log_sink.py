"""Rate-limited, non-blocking writer of log lines to standard output."""

import os
import queue
import threading
import time
from collections import Counter
from collections.abc import Callable

import attrs

# Average rate and burst of written lines. One request logs up to four lines.
LINES_PER_S = 200.0
BURST_LINES = 1000.0
# Lines queued while the reader of standard output is slow.
_QUEUE_LINES = 2000
# Lines are collected for this long and written together.
_BATCH_S = 0.1
_STDOUT = 1
_LEVEL_METHODS = frozenset(
    (
        'critical',
        'debug',
        'error',
        'exception',
        'info',
        'log',
        'warning',
    )
)


@attrs.define(kw_only=True, eq=False)
class LogSink:
    """Accepts lines and drops those that exceed the rate or the queue.

    :param dropped_by_reason: number of dropped lines by reason.
    """

    descriptor: int = _STDOUT
    dropped_by_reason: Counter[str] = attrs.field(factory=Counter)
    _lines: 'queue.Queue[bytes | None]' = attrs.field(
        factory=lambda: queue.Queue(maxsize=_QUEUE_LINES)
    )
    _tokens: float = BURST_LINES
    _refilled_at: float = attrs.field(factory=time.monotonic)
    _thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the writer thread."""
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Write the queued lines and end the thread."""
        if self._thread is None:
            return
        try:
            self._lines.put(None, timeout=_BATCH_S)
        except queue.Full:
            # Standard output is not being read. The queued lines may be
            # lost; they are counted as one.
            self.dropped_by_reason['queue_full'] += 1
            return
        self._thread.join(timeout=1)

    def msg(self, message: str) -> None:
        """Queue or drop one line; structlog calls the method by this name."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self.dropped_by_reason['rate'] += 1
            return
        self._tokens -= 1
        try:
            self._lines.put_nowait(f'{message}\n'.encode())
        except queue.Full:
            self.dropped_by_reason['queue_full'] += 1

    def __getattr__(self, name: str) -> Callable[[str], None]:
        """Return ``msg`` for the methods that structlog calls by level."""
        if name not in _LEVEL_METHODS:
            raise AttributeError(name)
        return self.msg

    def _write(self) -> None:
        while True:
            lines = [self._lines.get()]
            time.sleep(_BATCH_S)
            while not self._lines.empty():
                lines.append(self._lines.get_nowait())
            text = b''.join(line for line in lines if line is not None)
            try:
                self._write_all(text)
            except OSError:
                # Standard output is closed; only the counter records it.
                self.dropped_by_reason['closed'] += len(lines)
            if None in lines:
                return

    def _write_all(self, text: bytes) -> None:
        while text:
            text = text[os.write(self.descriptor, text) :]
