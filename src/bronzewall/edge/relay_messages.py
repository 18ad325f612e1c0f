"""Messages by which a VM finds another one that serves its requests."""

import attrs

from bronzewall.messages import message
from bronzewall.types import ServiceName


@message('edge-relay-request')
@attrs.frozen(kw_only=True)
class RelayRequest:
    """Asks whether a VM takes requests of callers of the sender.

    :param service: service that the requests are for.
    :param version: version of the sender's configuration.
    """

    service: ServiceName
    version: int


@message('edge-relay-reply')
@attrs.frozen(kw_only=True)
class RelayReply:
    """Answers a relay request.

    :param address: ``host:port`` that takes the requests, empty for none.
    :param ticket: shows that the receiver may send them.
    """

    address: str = ''
    ticket: str = ''
