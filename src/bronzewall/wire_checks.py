"""Checks of texts and numbers that other processes have written."""

import functools
import ipaddress
import re
import reprlib

from bronzewall.errors import AddressError

_MAX_PORT = 65_535
# Longest host name and its labels, as the domain name system takes them.
_MAX_HOST_CHARACTERS = 253
_LABEL = re.compile('[A-Za-z0-9_-]{1,63}')
_DOT = '.'
# Addresses whose parts are kept. Lists of instances are read again with each
# change of one entry, and the check took half of the time.
_KNOWN_ADDRESSES = 4096
# Longest value that is shown in an error or a log line, characters.
_MAX_SHOWN_CHARACTERS = 100
# Levels of a nested value that are shown; its repr may exceed the depth of
# recursion.
_MAX_SHOWN_LEVELS = 2
_repr = reprlib.Repr()
_repr.maxlevel = _MAX_SHOWN_LEVELS
_repr.maxstring = _MAX_SHOWN_CHARACTERS


@functools.lru_cache(maxsize=_KNOWN_ADDRESSES)
def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of an address of the form ``host:port``.

    An IPv6 address stands in brackets, which are not part of the host.

    :raises AddressError: it has another form, or no connection to it is
        possible.
    """
    host, _, port_text = address.rpartition(':')
    port = whole_number(port_text, limit=_MAX_PORT + 1)
    if port is None or not 0 < port <= _MAX_PORT:
        raise AddressError(f'address {shown(address)} has no valid port')
    if host.startswith('[') and host.endswith(']'):
        host = host[1:-1]
        is_valid = _is_ipv6(host)
    else:
        is_valid = _is_host_name(host)
    if not is_valid:
        raise AddressError(f'address {shown(address)} has no valid host')
    return host, port


def whole_number(text: str, *, limit: int) -> int | None:
    """Return the number that ASCII digits state, ``None`` for other texts.

    :param limit: returned in place of greater numbers; ``int`` fails on texts
        of thousands of digits.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip('0')
    if len(digits) > len(str(limit)):
        return limit
    return min(limit, int(digits or 0))


def is_plain_text(text: str, *, limit: int) -> bool:
    """Return whether a text can be sent in headers and messages.

    Control characters and lone surrogates cannot.

    :param limit: longest text, characters.
    """
    return 0 < len(text) <= limit and text.isprintable()


def shown(value: object) -> str:
    """Return a short form of any value for errors and log lines."""
    try:
        text = _repr.repr(value)
    except (ValueError, RecursionError):
        # Whole numbers of thousands of digits have no decimal form.
        text = f'a value of type {type(value).__name__}'
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return text
    return f'{text[:_MAX_SHOWN_CHARACTERS]}...'


def _is_host_name(host: str) -> bool:
    labels = host.removesuffix(_DOT).split(_DOT)
    return len(host) <= _MAX_HOST_CHARACTERS and all(
        _LABEL.fullmatch(label) for label in labels
    )


def _is_ipv6(host: str) -> bool:
    try:
        ipaddress.IPv6Address(host)
    except ValueError:
        return False
    # The zone of a link-local address has no form in URLs that all libraries
    # take.
    return '%' not in host
