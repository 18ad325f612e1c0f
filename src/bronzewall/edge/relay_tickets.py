"""Tickets that admit requests of other VMs."""

import random
from collections.abc import Callable

import attrs

from bronzewall.edge.directory import Directory
from bronzewall.edge.instance_paths import InstancePaths
from bronzewall.edge.relay_messages import RelayReply, RelayRequest
from bronzewall.messages import Envelope
from bronzewall.ports import Clock

# Time for which a ticket admits requests, seconds.
TICKET_LIFETIME_S = 2.0
_TICKET_BITS = 128


@attrs.define(kw_only=True, eq=False)
class RelayTickets:
    """Issues tickets to VMs that reach no instance.

    :param address: ``host:port`` at which this VM takes requests.
    :param is_leaving: returns whether this VM stops.
    """

    clock: Clock
    random: random.Random
    directory: Directory
    paths: InstancePaths
    address: str
    is_leaving: Callable[[], bool]
    _valid_until: dict[str, float] = attrs.field(factory=dict)

    def handle_request(self, envelope: Envelope) -> RelayReply:
        """Issue a ticket if this VM can serve the sender's requests."""
        request: RelayRequest = envelope.body
        is_behind = self.directory.version < request.version
        path = self.paths.path_to(request.service)
        if path.is_lost or is_behind or self.is_leaving():
            return RelayReply()
        now = self.clock.now()
        self._valid_until = {
            ticket: until
            for ticket, until in self._valid_until.items()
            if until > now
        }
        ticket = f'{self.random.getrandbits(_TICKET_BITS):032x}'
        self._valid_until[ticket] = now + TICKET_LIFETIME_S
        return RelayReply(address=self.address, ticket=ticket)

    def is_valid(self, ticket: str) -> bool:
        """Return whether this VM issued a ticket recently."""
        return self.clock.now() < self._valid_until.get(ticket, 0)
