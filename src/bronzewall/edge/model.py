"""Data model of the configuration and of service discovery."""

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
    """One service with its share of a route's traffic.

    :param weight: share of the requests, relative to the other weights.
    """

    service: ServiceName
    weight: float


@attrs.frozen(kw_only=True)
class EdgeRoute:
    """Rules for the requests of one host and path prefix.

    :param prefix: begins and ends with a slash.
    :param timeout: seconds until the final answer is due; ``None`` for no
        limit.
    :param target_latency: seconds within which an answer has its full value.
    :param max_instances: number of instances that may run one request.
    :param priority: rank among requests; 0 is the most urgent.
    :param open_to_all: whether requests are served without a key.
    :param traffic_split: empty if the route's entry is malformed; its
        requests are then refused.
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
    :param burst: requests admitted at once over the whole fleet.
    :param priority: overrides the priority of the route, if set.
    :param is_usable: its entry could be read; requests are refused otherwise.
    """

    account_id: AccountId
    keys: tuple[str, ...]
    rate: float = 0
    burst: float = 0
    priority: int | None = None
    is_usable: bool = True


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on the size of a caller's request.

    :param header_bytes: maximum size of the header block.
    :param body_bytes: maximum size of the body.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576


@attrs.frozen(kw_only=True)
class EdgeConfiguration:
    """One version of the configuration that operators publish.

    :param version: increases with every publication.
    :param needs_keys: whether the configuration has client accounts at all.
    :param has_unreadable_routes: some routes could not be read; a request
        without a route may belong to one of them.
    :param has_unreadable_accounts: the same for accounts and keys.
    """

    version: int
    routes: tuple[EdgeRoute, ...]
    accounts: tuple[EdgeAccount, ...] = ()
    needs_keys: bool = False
    limits: CallerLimits = CallerLimits()
    has_unreadable_routes: bool = False
    has_unreadable_accounts: bool = False


@attrs.frozen(kw_only=True)
class EdgeInstance:
    """One upstream instance as service discovery reports it.

    :param address: ``host:port``.
    :param slots: number of requests that it runs concurrently.
    :param is_leaving: it drains and must not receive new requests.
    :param warmup: seconds for which it is slow after its start.
    :param started_ms: Unix milliseconds of its start; distinguishes two
        processes with the same id.
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
    :param strength: cores that it may use; stronger VMs are preferred as
        zone leaders.
    :param started_ms: Unix milliseconds of its start.
    """

    vm_id: VmId
    placement: Placement
    address: str
    strength: float = 1
    started_ms: int = 0
