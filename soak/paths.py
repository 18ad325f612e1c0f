"""Proxies between the VMs of each zone and the instances."""

import attrs

from soak.instances import SoakInstance
from soak.proxy import FaultyProxy


@attrs.define(kw_only=True, eq=False)
class ZonePaths:
    """Paths of each zone to each instance.

    The VMs of a zone share the addresses of their leader, so a zone is cut
    off as a whole.
    """

    _proxies_by_zone: dict[str, dict[str, FaultyProxy]] = attrs.field(
        factory=dict
    )

    async def build(self, zone: str, instances: list[SoakInstance]) -> None:
        """Start the proxies of a zone."""
        proxies = {}
        for instance in instances:
            proxy = FaultyProxy(target=instance.address)
            await proxy.start()
            proxies[instance.instance_id] = proxy
        self._proxies_by_zone[zone] = proxies

    def addresses(self, zone: str) -> dict[str, str]:
        """Return addresses by instance as the VMs of a zone see them."""
        proxies = self._proxies_by_zone[zone]
        return {name: proxy.address for name, proxy in proxies.items()}

    async def cut(self, zone: str, *, keeps_open: bool) -> None:
        """Refuse new connections.

        :param keeps_open: connections that are open live on.
        """
        for proxy in self._proxies_by_zone[zone].values():
            proxy.refuse()
            if not keeps_open:
                proxy.reset()

    async def heal(self, zone: str) -> None:
        """Accept connections again."""
        for proxy in self._proxies_by_zone[zone].values():
            await proxy.accept()

    async def stop(self) -> None:
        """Stop all proxies."""
        for proxies in self._proxies_by_zone.values():
            for proxy in proxies.values():
                await proxy.stop()
