"""Validators for settings fields and names."""

import difflib
from collections.abc import Collection, Iterable
from typing import Any

import attrs

from bronzewall.errors import SettingsError

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


def reject_unknown(given: Iterable[str], known: Collection[str]) -> None:
    """Raise :class:`SettingsError` for a name that is not a setting."""
    for name in given:
        if name not in known:
            similar = difflib.get_close_matches(name, known, n=1)
            hint = f'; did you mean {similar[0]}?' if similar else ''
            raise SettingsError(f'unknown setting {name}{hint}')
