"""Header with which a VM sends a caller's request to another VM."""

import attrs

from bronzewall import headers as header_rules
from bronzewall.ports import Headers


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
    if len(parts) != 3 or not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    return RelayHeader(
        ticket=parts[0], version=int(parts[1]), max_instances=int(parts[2])
    )
