"""Answers to pipelined requests, buffered until they may be sent."""

import asyncio

import attrs

from bronzewall.errors import CallerGoneError
from bronzewall.ports import AnswerWriter, CallerHandler, CallerRequest, Headers


@attrs.define(kw_only=True, eq=False)
class BufferedAnswer:
    """Port ``AnswerWriter`` that buffers an answer in memory.

    HTTP answers leave in the order of their requests.
    """

    status: int = 0
    headers: Headers = ()
    body: bytes = b''
    is_aborted: bool = False

    @property
    def is_started(self) -> bool:
        """Whether the answer has a status."""
        return self.status > 0

    async def start(self, *, status: int, headers: Headers) -> None:
        """Store the status and headers."""
        self.status, self.headers = status, headers

    async def write(self, chunk: bytes) -> None:
        """Append a chunk to the body."""
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


def start_buffered_answer(
    handler: CallerHandler, request: CallerRequest
) -> 'asyncio.Task[BufferedAnswer]':
    """Start a task that answers a request into a buffer."""

    async def prepare() -> BufferedAnswer:
        answer = BufferedAnswer()
        await handler(request, answer)
        return answer

    return asyncio.create_task(prepare())
