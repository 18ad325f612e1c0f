"""Answers to pipelined requests, buffered until they may be sent."""

import asyncio

import attrs

from bronzewall.adapters.body_budget import BodyBudget, BodyBytes
from bronzewall.errors import BodiesTooLargeError, CallerGoneError
from bronzewall.ports import AnswerWriter, CallerHandler, CallerRequest, Headers
from bronzewall.problems import Ran, Reason, RefusalError

# Limit on the bytes of all buffered answers, the same as that of the answers
# that are being received.
_TOTAL_BYTES = 33_554_432
# Factor by which the size that is expected of an answer falls with each
# smaller one: large answers are remembered for some tens of answers.
_SIZE_DECAY = 0.95


@attrs.define(kw_only=True, eq=False)
class BufferSpace:
    """Space for the buffered answers of all connections.

    An answer is started only if it and those in progress are expected to fit;
    otherwise its request waits for its turn and needs no buffer.

    :param in_progress: answers that are being prepared.
    :param expected: bytes that are expected of an answer.
    """

    budget: BodyBudget = attrs.field(
        factory=lambda: BodyBudget(limit=_TOTAL_BYTES)
    )
    in_progress: int = 0
    expected: float = 0

    def has_room(self) -> bool:
        """Return whether one more answer is expected to fit."""
        added = (self.in_progress + 1) * self.expected
        return self.budget.total + added <= self.budget.limit

    def record_size(self, size: int) -> None:
        """Learn from the size of an answer."""
        self.expected = max(size, self.expected * _SIZE_DECAY)


@attrs.define(kw_only=True, eq=False)
class BufferedAnswer:
    """Port ``AnswerWriter`` that buffers an answer in memory.

    HTTP answers leave in the order of their requests.
    """

    space: BufferSpace
    counted: BodyBytes
    status: int = 0
    headers: Headers = ()
    body: bytes = b''
    is_aborted: bool = False
    _is_dropped: bool = False

    @property
    def is_started(self) -> bool:
        """Whether the answer has a status."""
        return self.status > 0

    async def start(self, *, status: int, headers: Headers) -> None:
        """Store the status and headers."""
        self.status, self.headers = status, headers

    async def write(self, chunk: bytes) -> None:
        """Append a chunk to the body.

        :raises RefusalError: the answer does not fit. The refusal is small
            and always fits.
        """
        size = len(self.body) + len(chunk)
        if not self._is_dropped:
            self.space.record_size(size)
            self._reserve(size)
        self.body += chunk

    async def finish(self) -> None:
        """Do nothing; the answer is complete when its task ends."""

    def abort(self) -> None:
        """Record that the connection must be aborted in place of an answer."""
        self.is_aborted = True

    async def deliver(self, writer: AnswerWriter) -> None:
        """Send the answer to the caller.

        :raises CallerGoneError: the caller has closed the connection.
        """
        if self.is_aborted:
            writer.abort()
            raise CallerGoneError('the answer was aborted before its end')
        await writer.start(status=self.status, headers=self.headers)
        if self.body:
            await writer.write(self.body)
        await writer.finish()

    def release(self) -> None:
        """Give the space back."""
        self.counted.release()

    def _reserve(self, size: int) -> None:
        try:
            self.counted.reserve(size)
        except BodiesTooLargeError as exc:
            self._is_dropped = True
            self.body = b''
            self.release()
            raise RefusalError(
                reason=Reason.ANSWER_LOST,
                ran=Ran.UNKNOWN,
                detail=f'buffered answers: {exc}',
            ) from exc


def start_buffered_answer(
    handler: CallerHandler, request: CallerRequest, space: BufferSpace
) -> 'asyncio.Task[BufferedAnswer]':
    """Start a task that answers a request into a buffer."""

    async def prepare() -> BufferedAnswer:
        answer = BufferedAnswer(
            space=space, counted=BodyBytes(budget=space.budget)
        )
        try:
            await handler(request, answer)
        except BaseException:
            answer.release()
            raise
        return answer

    def note_end(_task: object) -> None:
        space.in_progress -= 1

    space.in_progress += 1
    task = asyncio.create_task(prepare())
    task.add_done_callback(note_end)
    return task


def drop_answer(answer_task: 'asyncio.Task[BufferedAnswer]') -> None:
    """End a task whose answer cannot be sent and give its space back."""
    answer_task.cancel()
    answer_task.add_done_callback(_release)


def _release(answer_task: 'asyncio.Task[BufferedAnswer]') -> None:
    if not answer_task.cancelled() and answer_task.exception() is None:
        answer_task.result().release()
