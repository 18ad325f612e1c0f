"""Messages by which a VM finds another one that serves its requests."""

import attrs

from bronzewall.messages import message


@message('edge-relay-request')
@attrs.frozen(kw_only=True)
class RelayRequest:
    """Asks whether a VM takes requests of callers of the sender.

    :param version: version of the sender's configuration.
    """

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
