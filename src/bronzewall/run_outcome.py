"""Outcomes of non-idempotent requests, stored for callers' retries."""

import enum
import hashlib
from typing import Protocol

import attrs

from bronzewall import headers as header_rules
from bronzewall.errors import CallerGoneError
from bronzewall.ports import AnswerWriter, Headers
from bronzewall.types import AccountId, RequestId, RouteId

# Limit the size of a row in the table service and of an entry in a
# coordinator's memory; answers to submissions and bookings are receipts of a
# few KiB.
MAX_STORED_BODY_BYTES = 16_384
MAX_STORED_HEADER_BYTES = 4096
DIGEST_BYTES = 16

_STORED_HEADERS = frozenset(
    (
        'cache-control',
        'content-disposition',
        'content-encoding',
        'content-language',
        'content-type',
        'etag',
        'last-modified',
        'link',
        'location',
        'retry-after',
    )
)
_REPLAY_FULL = 'full'
_REPLAY_STATUS_ONLY = 'status-only'


class RunState(enum.StrEnum):
    """State of the attempt that holds a key or an issued id."""

    IN_PROGRESS = 'in_progress'
    DONE = 'done'
    UNKNOWN = 'unknown'
    NOT_RUN = 'not_run'


@attrs.frozen(kw_only=True)
class Outcome:
    """The stored part of an upstream's answer.

    :param body: the whole body, or ``None`` if it was too large or not
        received completely.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@attrs.frozen(kw_only=True)
class RunRequest:
    """A request that must run at most once.

    :param key: the caller's ``Idempotency-Key``.
    :param run_id: the issued id presented by the caller.
    :param digest: digest of method, target and body.
    :param attempt_id: unique for every arrival of the request.
    :param deadline: clock time after which it is no longer sent.
    :param is_key_optional: whether it may run without a key or run id.
    """

    account_id: AccountId | None
    route_id: RouteId
    key: str | None
    run_id: str | None
    digest: bytes
    attempt_id: RequestId
    deadline: float
    is_key_optional: bool = False


class Claim(Protocol):
    """Permission to run one request; exactly one method is called."""

    def done(self, outcome: Outcome) -> None:
        """Store the outcome for the caller's retries."""

    def unknown(self) -> None:
        """Record that the request may have run."""

    def not_run(self) -> None:
        """Record that it has not run, so that a retry may run."""


def request_digest(*, method: str, target: str, body: bytes) -> bytes:
    """Return the digest that distinguishes requests with the same key."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    head = f'{method}\0{target}\0'.encode()
    digest.update(head)
    digest.update(body)
    return digest.digest()


def replay_headers(outcome: Outcome, request_id: RequestId) -> Headers:
    """Return the headers of a replayed answer."""
    kind = _REPLAY_STATUS_ONLY if outcome.body is None else _REPLAY_FULL
    return [
        *outcome.headers,
        ('Content-Length', str(len(outcome.body or b''))),
        (header_rules.REPLAY, kind),
        (header_rules.REQUEST_ID, request_id),
    ]


@attrs.define(kw_only=True)
class RecordingWriter:
    """Passes an answer on and stores its outcome for the caller's retries.

    The exchange continues after the caller has disconnected: the rest of
    the answer is read, so that the outcome is available to a retry.
    """

    writer: AnswerWriter
    is_caller_disconnected: bool = False
    _status: int = 0
    _headers: Headers = ()
    _body: bytearray | None = attrs.field(factory=bytearray)
    _is_complete: bool = False

    @property
    def is_started(self) -> bool:
        """Whether the status line may have been sent."""
        return self.writer.is_started

    async def start(self, *, status: int, headers: Headers) -> None:
        """Send and store the status line and headers."""
        self._status, self._headers = status, headers
        try:
            await self.writer.start(status=status, headers=headers)
        except CallerGoneError:
            self.is_caller_disconnected = True

    async def write(self, chunk: bytes) -> None:
        """Send and store a part of the body."""
        if self._body is not None:
            self._body.extend(chunk)
            if len(self._body) > MAX_STORED_BODY_BYTES:
                self._body = None
        if self.is_caller_disconnected:
            return
        try:
            await self.writer.write(chunk)
        except CallerGoneError:
            self.is_caller_disconnected = True

    async def finish(self) -> None:
        """End the body."""
        self._is_complete = True
        if self.is_caller_disconnected:
            return
        try:
            await self.writer.finish()
        except CallerGoneError:
            self.is_caller_disconnected = True

    def abort(self) -> None:
        """Close the connection early; the outcome keeps the status."""
        self.writer.abort()

    def outcome(self) -> Outcome:
        """Return the stored part of the answer."""
        body = None
        if self._is_complete and self._body is not None:
            body = bytes(self._body)
        return Outcome(
            status=self._status,
            headers=_stored_headers(self._headers),
            body=body,
        )


def _stored_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    """Return the headers to store.

    The size limit counts every header of the answer, in order, also those
    that are not stored.
    """
    stored, size = [], 0
    for name, text in headers:
        size += len(name) + len(text)
        if name.lower() in _STORED_HEADERS and size <= MAX_STORED_HEADER_BYTES:
            stored.append((name, text))
    return tuple(stored)
