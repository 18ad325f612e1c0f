"""Reads typed fields of the platform's JSON documents."""

import json
from collections.abc import Mapping
from typing import Any, TypeVar

from bronzewall.errors import StoreEntryError
from bronzewall.wire_checks import is_plain_text, shown

_FieldT = TypeVar('_FieldT')
_NUMBER = (int, float)
# Numbers beyond this are mistakes; arithmetic with them may fail.
_MAX_NUMBER = 1e15
# Longest text, characters. Names are logged, and paths of callers that are
# longer than this by far are refused.
_MAX_TEXT_CHARACTERS = 1024


def document(raw: bytes) -> dict[str, Any]:
    """Return the object that a row holds.

    :raises StoreEntryError: the row holds something else.
    """
    try:
        wire = json.loads(raw)
    except (ValueError, RecursionError) as exc:
        raise StoreEntryError(f'not JSON: {exc}') from exc
    if not isinstance(wire, dict):
        raise StoreEntryError(f'not a JSON object: {type(wire).__name__}')
    return wire


def text(wire: Mapping[str, Any], name: str) -> str:
    """Return a text that is not empty and can be sent and logged.

    :raises StoreEntryError: the field is missing or holds something else.
    """
    return plain_text(wire.get(name), name)


def plain_text(value: object, name: str) -> str:
    """Return a value that is a text as :func:`text` returns it.

    :param name: name for the error.
    :raises StoreEntryError: it is something else.
    """
    if not isinstance(value, str) or not is_plain_text(
        value, limit=_MAX_TEXT_CHARACTERS
    ):
        raise StoreEntryError(f'{name} is {shown(value)}')
    return value


def integer(wire: Mapping[str, Any], name: str) -> int:
    """Return a whole number.

    :raises StoreEntryError: the field is missing or holds something else.
    """
    value = _typed(wire, name, int)
    if abs(value) > _MAX_NUMBER:
        raise StoreEntryError(f'{name} is {shown(value)}')
    return value


def number(wire: Mapping[str, Any], name: str) -> float:
    """Return a number that is not negative.

    :raises StoreEntryError: the field is missing or holds something else.
    """
    value = _typed(wire, name, _NUMBER)
    if not 0 <= value < _MAX_NUMBER:
        raise StoreEntryError(f'{name} is {shown(value)}')
    return value


def optional_number(wire: Mapping[str, Any], name: str) -> float | None:
    """Return a number that is not negative, or ``None`` if there is none.

    :raises StoreEntryError: the field holds something else.
    """
    return None if wire.get(name) is None else number(wire, name)


def items(wire: Mapping[str, Any], name: str) -> list[Any]:
    """Return a list; a missing one is empty.

    :raises StoreEntryError: the field holds something else.
    """
    value = wire.get(name, [])
    if not isinstance(value, list):
        raise StoreEntryError(f'{name} is not a list')
    return value


def entry(item: object) -> Mapping[str, Any]:
    """Return one item of a list of objects.

    :raises StoreEntryError: the item is something else.
    """
    if not isinstance(item, dict):
        raise StoreEntryError(f'{shown(item)} is not an object')
    return item


def _typed(
    wire: Mapping[str, Any],
    name: str,
    types: type[_FieldT] | tuple[type[_FieldT], ...],
) -> _FieldT:
    value = wire.get(name)
    if not isinstance(value, types) or isinstance(value, bool):
        raise StoreEntryError(f'{name} is {shown(value)}')
    return value
