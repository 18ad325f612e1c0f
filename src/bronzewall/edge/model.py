"""What operators configure and what service discovery reports, as data."""

import attrs

from bronzewall.types import (
    AccountId,
    InstanceId,
    Placement,
    RouteId,
    ServiceName,
    VmId,
)


@attrs.frozen(kw_only=True)
class TrafficShare:
    """One part of a route's traffic.

    :param weight: share of the requests, relative to the other parts.
    """

    service: ServiceName
    weight: float


@attrs.frozen(kw_only=True)
class EdgeRoute:
    """How the requests of one host and path prefix are treated.

    :param prefix: begins and ends with a slash.
    :param timeout: most seconds until a final answer; ``None`` for no limit.
    :param target_latency: seconds within which an answer is worth most.
    :param max_instances: instances to which one request may be sent.
    :param priority: rank among requests; 0 is the highest.
    :param open_to_all: served without a key.
    """

    route_id: RouteId
    host: str
    prefix: str
    traffic_split: tuple[TrafficShare, ...]
    idempotent: bool
    timeout: float | None = None
    target_latency: float | None = None
    max_instances: int = 1
    priority: int = 0
    open_to_all: bool = False


@attrs.frozen(kw_only=True)
class EdgeAccount:
    """One client account.

    :param rate: requests a second over the whole fleet; 0 for no limit.
    :param burst: requests at once over the whole fleet.
    :param priority: takes precedence over the route's, if set.
    """

    account_id: AccountId
    keys: tuple[str, ...]
    rate: float = 0
    burst: float = 0
    priority: int | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send.

    :param header_bytes: largest header block.
    :param body_bytes: largest body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576


@attrs.frozen(kw_only=True)
class EdgeConfiguration:
    """Everything that operators publish, at one version.

    :param version: grows with every publication.
    :param needs_keys: whether the configuration has client accounts at all.
    """

    version: int
    routes: tuple[EdgeRoute, ...]
    accounts: tuple[EdgeAccount, ...] = ()
    needs_keys: bool = False
    limits: CallerLimits = CallerLimits()


@attrs.frozen(kw_only=True)
class EdgeInstance:
    """One upstream instance as service discovery reports it.

    :param address: ``host:port``.
    :param slots: requests that it runs at the same time.
    :param is_leaving: it drains and must get no new requests.
    :param warmup: seconds for which it stays slow after its start.
    :param started_ms: Unix milliseconds of its start; tells two runs under
        one id apart.
    """

    instance_id: InstanceId
    service: ServiceName
    address: str
    placement: Placement
    slots: int
    is_leaving: bool = False
    warmup: float = 0
    started_ms: int = 0


@attrs.frozen(kw_only=True)
class VmEntry:
    """One VM of the fleet as it registered itself.

    :param address: ``host:port`` of its peer link.
    :param strength: cores that it may use; weak VMs take no zone duties.
    :param started_ms: Unix milliseconds of its start.
    """

    vm_id: VmId
    placement: Placement
    address: str
    strength: float = 1
    started_ms: int = 0
