"""Messages about the limits that instances state."""

import attrs

from bronzewall.messages import message
from bronzewall.types import InstanceId


@message('edge-limits')
@attrs.frozen(kw_only=True)
class LimitUpdate:
    """Limits that changed, from a VM to its leader or from a leader.

    :param limits: requests a second by instance, from all VMs together.
    :param ended: instances that no longer state a limit.
    """

    limits: dict[InstanceId, float] = attrs.field(factory=dict)
    ended: list[InstanceId] = attrs.field(factory=list)


@message('edge-permit-request')
@attrs.frozen(kw_only=True)
class PermitRequest:
    """Requests permission to send one request to a limited instance.

    :param limit: requests a second, as the sender knows it.
    :param max_wait: seconds for which the request can wait.
    :param hops: VMs that have passed the permit request on.
    """

    instance_id: InstanceId
    limit: float
    max_wait: float
    hops: int = 0


@message('edge-cold-permit-request')
@attrs.frozen(kw_only=True)
class ColdPermitRequest(PermitRequest):
    """Requests the same of an instance that is cold and states no such limit.

    Its limit is not passed on to other VMs, which have it from their lists. A
    build that does not know this message grants nothing.
    """


@message('edge-permit-reply')
@attrs.frozen(kw_only=True)
class PermitReply:
    """Answers a permit request.

    :param wait: seconds after which the request may be sent, or after which
        one would be permitted.
    """

    is_granted: bool
    wait: float = 0
