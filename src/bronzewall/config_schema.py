"""Defines the valid keys and values of the operators' TOML files."""

import re
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from bronzewall.errors import ConfigurationError

Check = Callable[[Any], Any]

_NAME = re.compile('[a-z0-9][a-z0-9-]{0,62}')
_ADDRESS = re.compile(r'[\w.:\[\]-]+:[0-9]{1,5}')
_PATH = re.compile(r'/[^\s?#*]*(/\*)?')
_DIGEST = re.compile('[0-9a-f]{64}')
_METHODS = ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT')
_MAX_SLOTS = 10_000
_MAX_CONNECTIONS = 100_000
_MAX_QUEUE_LIMIT = 100_000
_MAX_DEADLINE_S = 600
_MAX_RATE = 1e7


class NotAllowedError(ConfigurationError):
    """A value is not allowed; the message describes what is allowed."""


@attrs.frozen(kw_only=True)
class Field:
    """One key of a table.

    :param check: returns the validated value or raises
        ``NotAllowedError``.
    """

    name: str
    check: Check
    is_required: bool = False


def text(pattern: re.Pattern[str], allowed: str) -> Check:
    """Return a check for strings that match a pattern in full."""

    def check(found: Any) -> str:
        if not isinstance(found, str) or not pattern.fullmatch(found):
            raise NotAllowedError(allowed)
        return found

    return check


def number(low: float, high: float) -> Check:
    """Return a check for numbers from ``low`` to ``high``."""

    def check(found: Any) -> float:
        is_number = isinstance(found, int | float)
        if not is_number or isinstance(found, bool):
            raise NotAllowedError(f'a number from {low} to {high}')
        if not low <= found <= high:
            raise NotAllowedError(f'a number from {low} to {high}')
        return float(found)

    return check


def integer(low: int, high: int) -> Check:
    """Return a check for whole numbers from ``low`` to ``high``."""

    def check(found: Any) -> int:
        is_whole = isinstance(found, int) and not isinstance(found, bool)
        if not is_whole or not low <= found <= high:
            raise NotAllowedError(f'a whole number from {low} to {high}')
        return int(found)

    return check


def one_of(*choices: str) -> Check:
    """Return a check for one of the given strings."""

    def check(found: Any) -> str:
        if found not in choices:
            raise NotAllowedError(f'one of {", ".join(choices)}')
        return str(found)

    return check


def list_of(check_item: Check) -> Check:
    """Return a check for lists with at least one element."""

    def check(found: Any) -> list[Any]:
        if not isinstance(found, list) or not found:
            raise NotAllowedError('a list with at least one element')
        return [check_item(element) for element in found]

    return check


def boolean(found: Any) -> bool:
    """Check for true or false."""
    if not isinstance(found, bool):
        raise NotAllowedError('true or false')
    return found


_NAME_CHECK = text(_NAME, 'lower-case letters, digits and dashes')

SERVICE_FIELDS: Sequence[Field] = (
    Field(name='name', check=_NAME_CHECK, is_required=True),
    Field(name='floor', check=number(0, 1)),
    Field(name='retry_ratio', check=number(0, 1)),
    Field(name='hedge_ratio', check=number(0, 1)),
    Field(name='queue_limit', check=integer(0, _MAX_QUEUE_LIMIT)),
)

INSTANCE_FIELDS: Sequence[Field] = (
    Field(name='id', check=_NAME_CHECK, is_required=True),
    Field(name='address', check=text(_ADDRESS, 'HOST:PORT'), is_required=True),
    Field(name='region', check=_NAME_CHECK, is_required=True),
    Field(name='zone', check=_NAME_CHECK, is_required=True),
    Field(name='slots', check=integer(1, _MAX_SLOTS)),
    Field(name='connections', check=integer(1, _MAX_CONNECTIONS)),
)

ROUTE_FIELDS: Sequence[Field] = (
    Field(name='name', check=_NAME_CHECK, is_required=True),
    Field(
        name='path',
        check=text(_PATH, 'a path such as /drafts/new or /drafts/*'),
        is_required=True,
    ),
    Field(name='methods', check=list_of(one_of(*_METHODS)), is_required=True),
    Field(name='idempotent', check=boolean, is_required=True),
    Field(name='open_to_all', check=boolean),
    Field(name='deadline', check=number(0.1, _MAX_DEADLINE_S)),
    Field(name='retries', check=integer(0, 5)),
    Field(name='hedge', check=boolean),
    Field(name='when_cut_off', check=one_of('refuse', 'serve')),
    Field(name='idempotency_key', check=one_of('required', 'optional')),
)

ACCOUNT_FIELDS: Sequence[Field] = (
    Field(name='id', check=_NAME_CHECK, is_required=True),
    Field(name='rate', check=number(0, _MAX_RATE), is_required=True),
    Field(name='burst', check=integer(1, int(_MAX_RATE)), is_required=True),
    Field(
        name='key_digests',
        check=list_of(text(_DIGEST, 'SHA-256 digests, 64 hex digits each')),
        is_required=True,
    ),
)
