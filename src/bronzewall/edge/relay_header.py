"""Header with which a VM sends a caller's request to another VM."""

import sys

import attrs

from bronzewall import headers as header_rules
from bronzewall.ports import Headers
from bronzewall.wire_checks import whole_number

# Greater than any version, whose digits are eight hexadecimal ones.
_MAX_NUMBER = sys.maxsize


@attrs.frozen(kw_only=True)
class RelayHeader:
    """What the relaying VM states about a request.

    :param ticket: shows that a VM sent the request, and not a caller.
    :param version: version of the configuration by which it was accepted.
    :param max_instances: number of instances that may run it.
    """

    ticket: str
    version: int
    max_instances: int

    def __str__(self) -> str:
        """Return the text of the header."""
        return f'{self.ticket} {self.version} {self.max_instances}'


def find_relay_header(headers: Headers) -> RelayHeader | None:
    """Return the relay header of a request, if there is a valid one."""
    text = header_rules.find(headers, header_rules.RELAY)
    if text is None:
        return None
    parts = text.split()
    if len(parts) != 3:
        return None
    version, max_instances = (
        whole_number(part, limit=_MAX_NUMBER) for part in parts[1:]
    )
    if version is None or max_instances is None:
        return None
    return RelayHeader(
        ticket=parts[0], version=version, max_instances=max_instances
    )
