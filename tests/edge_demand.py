"""Fleets of several zones under uneven demand of limited accounts."""

import asyncio
import random
from collections import defaultdict

import attrs
from edge_builders import (
    KEY,
    a_caller_request,
    an_edge_account,
    an_edge_configuration,
)
from edge_fleet import Fleet

from bronzewall.standins.exact_limiter import LimitedRequest
from bronzewall.types import VmId

# Window, share and requests by which the users' rules let an account exceed
# its burst and rate.
WINDOW_S = 5.0
OVERAGE = 1.1
SLACK = 20
REFUSED = 429


@attrs.define(kw_only=True)
class Demand:
    """Requests of one account.

    :param weights_by_vm: relative demand at each VM.
    """

    account_id: str
    per_s: float
    weights_by_vm: dict[str, float]


class DemandFleet(Fleet):
    """Records which requests of each account were let through."""

    def __init__(self, *, zones: int, vms_by_zone: int) -> None:
        super().__init__()
        self.vms.clear()
        for number in range(zones * vms_by_zone):
            zone_number = number % zones
            region = 'muscat' if zone_number % 2 else 'dhofar'
            zone = f'{region}-{zone_number}'
            self.add(
                f'vm-{number:03}',
                zone=zone,
                zones=zones,
                started_ms=number,
                rate_slack=SLACK,
            )
        self.requests_by_account: dict[str, list[LimitedRequest]] = defaultdict(
            list
        )
        self._pending: set = set()

    def publish_accounts(self, version: int, *accounts) -> None:
        self.shared.publish(an_edge_configuration(version, accounts=accounts))

    def add(self, name, **changes):
        vm = super().add(name, **changes)
        vm.instances.response_time = 0
        return vm

    async def restart_all(self, pause: float) -> None:
        """Kill all VMs at once and start them again."""
        names = list(self.vms)
        entries = {name: self.vms[name].fleet.own for name in names}
        for name in names:
            await self.kill(name)
        await asyncio.sleep(pause)
        zones = len({entry.placement.zone for entry in entries.values()})
        for name in names:
            self.add(
                name,
                zone=entries[name].placement.zone,
                zones=zones,
                started_ms=int(self._now() * 1000),
                rate_slack=SLACK,
            )
            self.run_vm(name)

    def isolate(self, names) -> None:
        """Cut VMs off from all others."""
        for name in names:
            for other in self.vms:
                if other != name:
                    self.network.block(sender=VmId(name), receiver=VmId(other))
                    self.network.block(sender=VmId(other), receiver=VmId(name))

    async def send(
        self, demand: Demand, seconds: float, drawn: random.Random
    ) -> None:
        """Send requests of one account at random moments."""
        ends_at = self._now() + seconds
        names = list(demand.weights_by_vm)
        weights = list(demand.weights_by_vm.values())
        while True:
            await asyncio.sleep(drawn.expovariate(demand.per_s))
            if self._now() >= ends_at:
                break
            name = drawn.choices(names, weights)[0]
            if name in self.tasks_by_name:
                task = asyncio.ensure_future(self._ask(demand.account_id, name))
                self._pending.add(task)
                task.add_done_callback(self._pending.discard)
        while self._pending:
            await asyncio.sleep(0.05)

    async def _ask(self, account_id: str, name: str) -> None:
        at = self._now()
        headers = [
            (header, f'Bearer {account_id}' if text.endswith(KEY) else text)
            for header, text in a_caller_request().headers
        ]
        answer = await self.vms[name].ask(a_caller_request(headers=headers))
        if answer.status in {200, REFUSED}:
            self.requests_by_account[account_id].append(
                LimitedRequest(at=at, is_admitted=answer.status == 200)
            )


def a_limited_account(name: str = 'hot', **changes):
    """Return an account whose key is its name."""
    return an_edge_account(account_id=name, keys=(name,), **changes)


def most_allowed(account) -> float:
    """Return the most requests of an account in a window by the rules."""
    return OVERAGE * (account.burst + account.rate * WINDOW_S) + SLACK
