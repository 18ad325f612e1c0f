"""Messages and request-reply calls between VMs over a peer link."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import structlog

from bronzewall import messages
from bronzewall.errors import PeerMessageError, PeerTimeoutError
from bronzewall.ports import PeerLink
from bronzewall.types import VmId

_LOG = structlog.get_logger()
Handler = Callable[[messages.Envelope], Any]


def _accept_all(_envelope: messages.Envelope) -> bool:
    return True


@attrs.define(kw_only=True, eq=False)
class PeerEndpoint:
    """This VM's end of the links to all peers.

    A handler gets the envelope and returns a reply message or ``None``. It
    may be a coroutine function; the endpoint then runs it as a task.

    :param incarnation: start time of this process, nanoseconds.
    :param accepts: filter called first with every envelope; ``False`` drops
        it, for example because the sender has a newer incarnation.
    :param counters: bytes sent by message class, and dropped messages by
        cause.
    """

    vm_id: VmId
    incarnation: int
    link: PeerLink
    accepts: Callable[[messages.Envelope], bool] = _accept_all
    counters: Counter[str] = attrs.field(factory=Counter)
    _handlers_by_class: dict[type, Handler] = attrs.field(factory=dict)
    _replies_by_call: dict[int, asyncio.Future[Any]] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _unread_logged: set[tuple[VmId, str]] = attrs.field(factory=set)
    _sequence: 'itertools.count[int]' = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        """Register as the receiver of the link."""
        self.link.on_payload(self.receive)

    def serve(self, message_class: type, handler: Handler) -> None:
        """Handle all messages of one class."""
        self._handlers_by_class[message_class] = handler

    def send(self, *, to: VmId, message: object) -> None:
        """Send a message that expects no reply."""
        self._transmit(to, message)

    async def call(self, *, to: VmId, message: object, timeout: float) -> Any:
        """Send a request and return the reply message.

        :param timeout: seconds.
        :raises PeerTimeoutError: no reply came in time.
        """
        call_id = next(self._sequence)
        reply = asyncio.get_running_loop().create_future()
        self._replies_by_call[call_id] = reply
        self._transmit(to, message, call_id=call_id)
        try:
            async with asyncio.timeout(timeout):
                return await reply
        except TimeoutError:
            raise PeerTimeoutError(
                f'{to} did not answer {type(message).__name__} '
                f'within {timeout} s'
            ) from None
        finally:
            self._replies_by_call.pop(call_id, None)

    def receive(self, payload: bytes) -> None:
        """Handle one payload; an invalid one is counted and dropped."""
        try:
            self._handle(messages.decode(payload))
        except PeerMessageError as exc:
            self.counters[type(exc).__name__] += 1
        except Exception:
            # A fault of this program, which must not end the connection of
            # the peer or the other messages.
            self.counters['handler_failed'] += 1
            _LOG.exception('peer_handler_failed')

    async def close(self) -> None:
        """Cancel the running handlers and wait for their end."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _handle(self, envelope: messages.Envelope) -> None:
        if envelope.unread_fields:
            self._record_unread_fields(envelope)
        if not self.accepts(envelope):
            self.counters['not_accepted'] += 1
            return
        if envelope.reply_to is None:
            self._dispatch(envelope)
            return
        reply = self._replies_by_call.get(envelope.reply_to)
        if reply is not None and not reply.done():
            reply.set_result(envelope.body)

    def _record_unread_fields(self, envelope: messages.Envelope) -> None:
        """Count a message of a later build, and log it once for each sender."""
        label = messages.label_of(envelope.body)
        self.counters[f'unread_fields_{label}'] += 1
        if (envelope.sender, label) not in self._unread_logged:
            self._unread_logged.add((envelope.sender, label))
            _LOG.info(
                'peer_fields_not_read',
                vm=envelope.sender,
                kind=label,
                fields=sorted(envelope.unread_fields),
            )

    def _dispatch(self, envelope: messages.Envelope) -> None:
        handler = self._handlers_by_class.get(type(envelope.body))
        if handler is None:
            self.counters['unhandled'] += 1
            return
        outcome = handler(envelope)
        if asyncio.iscoroutine(outcome):
            task = asyncio.create_task(self._finish(envelope, outcome))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            self._reply(envelope, outcome)

    async def _finish(
        self, envelope: messages.Envelope, outcome: Awaitable[object]
    ) -> None:
        self._reply(envelope, await outcome)

    def _reply(self, envelope: messages.Envelope, reply: object) -> None:
        if envelope.call_id is not None and reply is not None:
            self._transmit(envelope.sender, reply, reply_to=envelope.call_id)

    def _transmit(
        self,
        to: VmId,
        body: object,
        *,
        call_id: int | None = None,
        reply_to: int | None = None,
    ) -> None:
        envelope = messages.Envelope(
            sender=self.vm_id,
            incarnation=self.incarnation,
            sequence=next(self._sequence),
            body=body,
            call_id=call_id,
            reply_to=reply_to,
        )
        payload = messages.encode(envelope)
        self.counters[f'bytes_{messages.label_of(body)}'] += len(payload)
        self.link.send(to=to, payload=payload)
