"""Data classes of the configuration."""

from collections.abc import Mapping

import attrs

from bronzewall.types import (
    AccountId,
    InstanceId,
    Placement,
    RouteId,
    ServiceName,
)

DEFAULT_SLOTS = 4
DEFAULT_CONNECTIONS = 360
DEFAULT_QUEUE_LIMIT = 100


@attrs.frozen(kw_only=True)
class Instance:
    """One upstream instance.

    :param address: ``host:port``.
    :param slots: requests that it can process at the same time.
    :param connections: connections that it accepts from the whole fleet.
    """

    instance_id: InstanceId
    address: str
    placement: Placement
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS


@attrs.frozen(kw_only=True)
class Route:
    """Rules for one class of requests.

    :param path: exact path, or a prefix that ends with ``/*``.
    :param deadline: seconds for the whole request.
    :param retries: further attempts allowed where safe.
    :param hedge: whether a second attempt may overlap the first.
    :param when_cut_off: ``refuse`` or ``serve``; what to do with requests
        while the keys are stale.
    :param idempotency_key: ``required`` or ``optional``; only for routes
        that are not idempotent.
    """

    route_id: RouteId
    service: ServiceName
    path: str
    methods: frozenset[str]
    idempotent: bool
    open_to_all: bool = False
    deadline: float = 10.0
    retries: int = 1
    hedge: bool = False
    when_cut_off: str = 'refuse'
    idempotency_key: str = 'required'


@attrs.frozen(kw_only=True)
class Service:
    """One upstream service.

    :param floor: least fraction of the capacity that must stay in use,
        0 to 1.
    :param retry_ratio: retries allowed per request, 0 to 1.
    :param hedge_ratio: hedges allowed per request, 0 to 1.
    :param queue_limit: largest number of requests queued on one VM.
    """

    name: ServiceName
    instances_by_id: Mapping[InstanceId, Instance]
    routes_by_id: Mapping[RouteId, Route]
    floor: float = 0.5
    retry_ratio: float = 0.1
    hedge_ratio: float = 0.05
    queue_limit: int = DEFAULT_QUEUE_LIMIT


@attrs.frozen(kw_only=True)
class Account:
    """One client account.

    :param rate: requests per second over the whole fleet.
    :param burst: requests at once over the whole fleet.
    :param key_digests: SHA-256 digests of the keys in use.
    """

    account_id: AccountId
    rate: float
    burst: int
    key_digests: tuple[bytes, ...]


@attrs.frozen(kw_only=True)
class Configuration:
    """All services and accounts that operators published, at a generation."""

    generation: int
    services_by_name: Mapping[ServiceName, Service]
    accounts_by_id: Mapping[AccountId, Account]
