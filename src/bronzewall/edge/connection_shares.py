"""This VM's part of the connections that an instance accepts from all VMs."""

import asyncio
import math
from collections import deque

import attrs

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.directory import Directory
from bronzewall.edge.fleet_view import FleetView
from bronzewall.edge.model import EdgeInstance
from bronzewall.edge.zone_state import ZoneState
from bronzewall.types import InstanceId, ServiceName

_Waiters = deque['asyncio.Future[None]']


@attrs.define(kw_only=True, eq=False)
class ConnectionShares:
    """Bounds the connections of this VM to each instance.

    A connection carries one request at a time, and the client opens a new one
    only if no kept one is free. This VM therefore never has more connections
    to an instance than it had requests in progress there at once.
    """

    fleet: FleetView
    directory: Directory
    catalog: Catalog
    state: ZoneState
    _waiters_by_service: dict[ServiceName, _Waiters] = attrs.field(factory=dict)

    def share(self, service: ServiceName) -> float:
        """Return the connections that this VM may have to an instance.

        Each VM may have one: it could serve no request otherwise.
        """
        limit = self.directory.connection_limits.get(service)
        if limit is None:
            return math.inf
        return max(1, limit // len(self.fleet.entries_by_id))

    def has_room(self, instance: EdgeInstance) -> bool:
        """Return whether one more request may be sent to an instance."""
        in_use = self.state.own_in_flight[instance.instance_id]
        return in_use < self.share(instance.service)

    async def wait(
        self, service: ServiceName, timeout: float, *, is_first: bool
    ) -> bool:
        """Wait until a request to an instance of a service has ended.

        :param timeout: seconds.
        :param is_first: the first wait of a request; later ones go to the
            front, since its room was taken by a request that came later.
        :return: whether one has ended.
        """
        waiters = self._waiters_by_service.setdefault(service, deque())
        ended = asyncio.get_running_loop().create_future()
        if is_first:
            waiters.append(ended)
        else:
            waiters.appendleft(ended)
        try:
            async with asyncio.timeout(timeout):
                await ended
        except (TimeoutError, asyncio.CancelledError) as exc:
            # Both may come after a request has ended, but before this one runs
            # again.
            if isinstance(exc, TimeoutError):
                return _has_result(ended)
            if _has_result(ended):
                self._wake(service)
            raise
        finally:
            if ended in waiters:
                waiters.remove(ended)
        return True

    def record_end(self, instance_id: InstanceId) -> None:
        """Let the request that has waited longest try again."""
        instance = self.catalog.instances_by_id.get(instance_id)
        if instance is not None:
            self._wake(instance.service)

    def _wake(self, service: ServiceName) -> None:
        waiters = self._waiters_by_service.get(service)
        while waiters:
            ended = waiters.popleft()
            if not ended.done():
                ended.set_result(None)
                return


def _has_result(future: 'asyncio.Future[None]') -> bool:
    return future.done() and not future.cancelled()
