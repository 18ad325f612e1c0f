"""Checks of single settings, as validators of attrs fields."""

from typing import Any

import attrs

_MAX_PORT = 65535


def not_empty(
    _instance: object, field: 'attrs.Attribute[str]', found: str
) -> None:
    """Raise :class:`ValueError` for an empty text."""
    if not found:
        raise ValueError(f'{field.name} must not be empty')


def host_port(
    _instance: object, field: 'attrs.Attribute[str]', found: str
) -> None:
    """Raise :class:`ValueError` unless the text is ``HOST:PORT``."""
    host, _, port = found.rpartition(':')
    if not host or not port.isdigit() or int(port) > _MAX_PORT:
        raise ValueError(f'{field.name} is {found!r}; expected HOST:PORT')


def positive(
    _instance: object, field: 'attrs.Attribute[Any]', found: float
) -> None:
    """Raise :class:`ValueError` unless the number is above 0."""
    if not found > 0:
        raise ValueError(f'{field.name} is {found}; expected more than 0')
