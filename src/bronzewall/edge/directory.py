"""Active configuration of this VM and lookup of routes and accounts."""

import asyncio
import contextlib
from collections.abc import Mapping

import attrs
import structlog

from bronzewall.edge.model import (
    CallerLimits,
    EdgeAccount,
    EdgeConfiguration,
    EdgeRoute,
)
from bronzewall.key_table import key_digest
from bronzewall.types import AccountId, ServiceName

_LOG = structlog.get_logger()


@attrs.define(kw_only=True, eq=False)
class Directory:
    """Routes and keys of the newest configuration received.

    A configuration is replaced only by one with a higher version, whatever
    its source, so this VM never returns to an older one.

    :param raw: stored form, as it is sent to other VMs.
    :param has_bulk_routes: whether it has routes of large requests or answers.
    :param usual_rate: mean requests a second of the accounts with a limit.
    :param connection_limits: connections that each instance accepts from all
        VMs together, by service.
    """

    configuration: EdgeConfiguration | None = None
    raw: bytes = b''
    routes_by_host: Mapping[str, Mapping[str, EdgeRoute]] = attrs.field(
        factory=dict
    )
    accounts_by_id: Mapping[AccountId, EdgeAccount] = attrs.field(factory=dict)
    has_bulk_routes: bool = False
    usual_rate: float = 1
    connection_limits: Mapping[ServiceName, int] = attrs.field(factory=dict)
    _loaded: asyncio.Event = attrs.field(factory=asyncio.Event)
    _account_ids_by_digest: Mapping[bytes, AccountId] = attrs.field(
        factory=dict
    )

    @property
    def version(self) -> int:
        """Version of the active configuration, -1 if there is none."""
        return -1 if self.configuration is None else self.configuration.version

    @property
    def limits(self) -> CallerLimits:
        """Limits for requests of callers."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    def stop_waiting(self) -> None:
        """Let requests fail at once while no configuration is to be had."""
        self._loaded.set()

    async def wait_for_configuration(self, timeout: float) -> None:
        """Wait for the first configuration, or until it is known to fail.

        :param timeout: longest wait in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._loaded.wait()

    def accept(
        self, configuration: EdgeConfiguration, *, raw: bytes, source: str
    ) -> bool:
        """Activate a configuration if it is newer.

        :param raw: its stored form.
        :param source: where it came from, for the log.
        :returns: whether it was activated.
        """
        if configuration.version <= self.version:
            return False
        _LOG.info(
            'configuration_in_force',
            version=configuration.version,
            before=self.version,
            source=source,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts),
        )
        routes: dict[str, dict[str, EdgeRoute]] = {}
        for route in configuration.routes:
            routes.setdefault(route.host, {})[route.prefix] = route
        self.configuration = configuration
        self.raw = raw
        self._loaded.set()
        self.routes_by_host = routes
        self.accounts_by_id = {
            account.account_id: account for account in configuration.accounts
        }
        self.usual_rate = _mean_rate(configuration)
        self.has_bulk_routes = any(
            item.is_bulk for item in configuration.routes
        )
        self.connection_limits = {
            found.service: found.max_connections
            for found in configuration.services
            if found.max_connections is not None
        }
        self._account_ids_by_digest = {
            key_digest(key): account.account_id
            for account in configuration.accounts
            for key in account.keys
        }
        return True

    def find_route(self, *, host: str, path: str) -> EdgeRoute | None:
        """Return the route with the longest prefix of a path.

        :param host: host as the caller sent it.
        :param path: path as the caller sent it, without the query.
        """
        by_prefix = self.routes_by_host.get(_host_name(host))
        if by_prefix is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end) if end else -1
        return None

    def find_account(self, key: str) -> EdgeAccount | None:
        """Return the account of a key.

        The lookup goes by digest, so its duration does not reveal the key.
        """
        account_id = self._account_ids_by_digest.get(key_digest(key))
        return None if account_id is None else self.accounts_by_id[account_id]


def _mean_rate(configuration: EdgeConfiguration) -> float:
    """Return the mean rate of the accounts that have a limit, else 1."""
    rates = [item.rate for item in configuration.accounts if item.rate]
    return sum(rates) / len(rates) if rates else 1


def _host_name(host: str) -> str:
    """Return the host without a port, in lower case."""
    name, _, port = host.rpartition(':')
    return (name if port.isdigit() and name else host).lower()
