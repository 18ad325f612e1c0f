"""Encodes, decodes and authenticates issued ids."""

import base64
import binascii
import hashlib
import hmac
from typing import Any

import attrs
import cbor2

from bronzewall.errors import RunIdError
from bronzewall.types import VmId

_MAC_BYTES = 16
_MAX_TEXT_LENGTH = 400
_MS_PER_S = 1000


# Errors of a text that is no run id; one with a time beyond any float raises
# ``OverflowError``.
_MALFORMED = (cbor2.CBORDecodeError, TypeError, ValueError, OverflowError)


@attrs.frozen(kw_only=True)
class RunToken:
    """The fields of an issued id.

    :param home: the VM that issued it, its coordinator.
    :param incarnation: start time of the issuing process, nanoseconds.
    :param issued: Unix time of the issue, seconds.
    :param nonce: random bytes that make the id unique.
    """

    home: VmId
    incarnation: int
    issued: float
    account: str
    nonce: bytes


def format_token(token: RunToken, *, secret: bytes) -> str:
    """Return the text form, with a MAC under the issuing process's key."""
    fields = [
        token.home,
        token.incarnation,
        int(token.issued * _MS_PER_S),
        token.account,
        token.nonce,
    ]
    body = cbor2.dumps(fields)
    return f'{_to_text(body)}.{_to_text(_mac(body, secret))}'


def parse_token(text: str) -> RunToken:
    """Return the fields of an id, without a check of its MAC.

    Only the process that issued the id has the key of the MAC.

    :raises RunIdError: the text does not have the form of an issued id.
    """
    if len(text) > _MAX_TEXT_LENGTH:
        raise RunIdError('the run id is too long')
    try:
        home, incarnation, issued, account, nonce = cbor2.loads(
            _from_text(text.partition('.')[0])
        )
        return RunToken(
            home=VmId(_require_type(home, str)),
            incarnation=_require_type(incarnation, int),
            issued=_require_type(issued, int) / _MS_PER_S,
            account=_require_type(account, str),
            nonce=_require_type(nonce, bytes),
        )
    except _MALFORMED as exc:
        raise RunIdError(f'not a run id: {exc}') from exc


def is_authentic(text: str, *, secret: bytes) -> bool:
    """Return whether the id was issued with this secret."""
    body, _, mac = text.partition('.')
    try:
        return hmac.compare_digest(
            _mac(_from_text(body), secret), _from_text(mac)
        )
    except ValueError:
        return False


def _mac(body: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, body, hashlib.sha256)[:_MAC_BYTES]


def _to_text(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip('=')


def _from_text(text: str) -> bytes:
    padding = '=' * (-len(text) % 4)
    try:
        return base64.b64decode(
            (text + padding).encode(), altchars=b'-_', validate=True
        )
    except binascii.Error as exc:
        raise RunIdError(f'not base64: {exc}') from exc


def _require_type(value: object, kind: type) -> Any:
    if not isinstance(value, kind):
        raise RunIdError(f'expected {kind.__name__}, found {value!r}')
    return value
