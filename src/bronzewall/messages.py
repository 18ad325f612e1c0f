"""Message types between VMs and their CBOR envelope."""

from typing import Any, TypeVar

import attrs
import cbor2
from cattrs.preconf.cbor2 import make_converter

from bronzewall.errors import (
    DuplicateKindError,
    PeerKindError,
    PeerMessageError,
    PeerVersionError,
)
from bronzewall.types import VmId
from bronzewall.wire_checks import shown

PROTOCOL_VERSION = 1

_FieldT = TypeVar('_FieldT')
_ClassT = TypeVar('_ClassT', bound=type)

# Fields at their default value are not sent; heartbeats are frequent. Fields
# that only later builds know are not read: VMs of two builds exchange messages.
_converter = make_converter(omit_if_default=True)
_classes_by_kind: dict[str, type] = {}
_kinds_by_class: dict[type, str] = {}
_labels_by_class: dict[type, str] = {}


def message(kind: str, *, label: str | None = None) -> Any:
    """Register an attrs class as a message type.

    :param kind: type tag in the envelope; never reused for another class,
        because VMs of two versions may exchange messages.
    :param label: name of the type in counters, the class name by default.
    :raises DuplicateKindError: the type tag is already registered.
    """

    def register(message_class: _ClassT) -> _ClassT:
        if kind in _classes_by_kind:
            raise DuplicateKindError(
                f'{kind!r} is used by {_classes_by_kind[kind].__name__}'
            )
        _classes_by_kind[kind] = message_class
        _kinds_by_class[message_class] = kind
        _labels_by_class[message_class] = label or message_class.__name__
        return message_class

    return register


def label_of(body: object) -> str:
    """Return the name of a message's type in counters."""
    return _labels_by_class[type(body)]


@attrs.frozen(kw_only=True)
class Envelope:
    """One message with its sender.

    :param incarnation: start time of the sender's process, nanoseconds.
    :param sequence: grows with each message of the incarnation.
    :param call_id: set on a request that expects a reply.
    :param reply_to: ``call_id`` of the request that this answers.
    :param unread_fields: fields of the body that this build does not know.
    """

    sender: VmId
    incarnation: int
    sequence: int
    body: Any
    call_id: int | None = None
    reply_to: int | None = None
    unread_fields: frozenset[str] = frozenset()


def encode(envelope: Envelope) -> bytes:
    """Return the CBOR encoding of an envelope."""
    wire = {
        'v': PROTOCOL_VERSION,
        't': _kinds_by_class[type(envelope.body)],
        'f': envelope.sender,
        'i': envelope.incarnation,
        'n': envelope.sequence,
        'b': _converter.unstructure(envelope.body),
    }
    if envelope.call_id is not None:
        wire['c'] = envelope.call_id
    if envelope.reply_to is not None:
        wire['r'] = envelope.reply_to
    return cbor2.dumps(wire)


def decode(payload: bytes) -> Envelope:
    """Return the envelope that a payload encodes.

    :raises PeerVersionError: the protocol version is not supported.
    :raises PeerKindError: unknown message type or wrong body.
    :raises PeerMessageError: not a CBOR map of the expected form.
    """
    wire = _decode_map(payload)
    version = wire.get('v')
    if version != PROTOCOL_VERSION:
        raise PeerVersionError(
            f'protocol version {shown(version)} is not supported'
        )
    kind = _field(wire, 't', str)
    message_class = _classes_by_kind.get(kind)
    if message_class is None:
        raise PeerKindError(f'unknown message type {shown(kind)}')
    sent: Any = wire.get('b')
    try:
        body: Any = _converter.structure(sent, message_class)
    except Exception as exc:
        raise PeerKindError(f'invalid body of {kind!r}: {exc}') from exc
    known = {field.name for field in attrs.fields(message_class)}
    return _envelope(
        wire, body, unread_fields=frozenset(map(str, sent)) - known
    )


def _decode_map(payload: bytes) -> dict[str, Any]:
    try:
        wire = cbor2.loads(payload)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as exc:
        raise PeerMessageError(f'payload is not valid CBOR: {exc}') from exc
    if not isinstance(wire, dict):
        raise PeerMessageError(
            f'envelope is not a CBOR map: {type(wire).__name__}'
        )
    return wire


def _envelope(
    wire: dict[str, Any], body: object, *, unread_fields: frozenset[str]
) -> Envelope:
    return Envelope(
        unread_fields=unread_fields,
        sender=VmId(_field(wire, 'f', str)),
        incarnation=_field(wire, 'i', int),
        sequence=_field(wire, 'n', int),
        body=body,
        call_id=_field(wire, 'c', int) if 'c' in wire else None,
        reply_to=_field(wire, 'r', int) if 'r' in wire else None,
    )


def _field(wire: dict[str, Any], key: str, kind: type[_FieldT]) -> _FieldT:
    found = wire.get(key)
    if not isinstance(found, kind):
        raise PeerMessageError(
            f'field {key!r} of the envelope is {shown(found)}; '
            f'expected {kind.__name__}'
        )
    return found
