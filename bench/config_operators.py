"""Operators who publish at the same time, for the configuration bench."""

import asyncio
import random
from collections.abc import Iterator
from typing import Any

import attrs
from config_world import STORE_REGION, Fleet

from bronzewall.config_model import Account, Instance, Route, Service
from bronzewall.errors import PublishConflictError, StoreUnavailableError
from bronzewall.key_table import key_digest
from bronzewall.publication import (
    Publication,
    PublishOutcome,
    publish,
    read_base,
)
from bronzewall.standins.memory import MemoryPlatform
from bronzewall.standins.virtual_time import VirtualClock
from bronzewall.types import (
    AccountId,
    InstanceId,
    Placement,
    RouteId,
    ServiceName,
)

SERVICES = ('drafts', 'intake', 'cluebank', 'marginalia')
PUBLISHES = 200
_WITHDRAWAL_EVERY = 4
_LOST_ANSWER_SHARE = 0.1
# Share of publishes that follow the last one at once, to cause races.
_HURRY_SHARE = 0.3
_PAUSE_S = 7.0


@attrs.define(kw_only=True, eq=False)
class Operators:
    """Operators who publish at the same time.

    :param stored: service and serial by generation.
    :param publications: generation by publication id.
    :param hands_over: whether the tool hands changes to the VMs itself.
    """

    fleet: Fleet
    rng: random.Random
    keys_by_account: dict[str, list[str]]
    serials: Iterator[int]
    stored: dict[int, tuple[str, int]] = attrs.field(factory=dict)
    publications: dict[str, int] = attrs.field(factory=dict)
    started: int = 0
    limit: int = PUBLISHES
    hands_over: bool = True
    confirming: list[asyncio.Task[None]] = attrs.field(factory=list)

    async def run(self, number: int) -> None:
        """Publish until the fleet's total is reached."""
        clock = VirtualClock()
        store = self.fleet.platform(STORE_REGION, clock)
        while self.started < self.limit:
            self.started += 1
            store.faults.is_down = self.fleet.is_store_down
            if self.started % _WITHDRAWAL_EVERY == 0:
                await self._withdraw(number, store)
            else:
                await self._change(number, store)
            if self.rng.random() > _HURRY_SHARE:
                await clock.sleep(self.rng.uniform(0, _PAUSE_S))

    def accounts(self) -> list[Account]:
        """Return the accounts with the keys that are left."""
        return [
            Account(
                account_id=AccountId(name),
                rate=50.0,
                burst=20,
                key_digests=tuple(key_digest(key) for key in keys),
            )
            for name, keys in self.keys_by_account.items()
        ]

    async def _change(self, number: int, store: MemoryPlatform) -> None:
        name = self.rng.choice(SERVICES)
        serial = next(self.serials)
        generation = await self._publish(
            number, store, services=[a_service(name, serial)], accounts=None
        )
        self.stored[generation] = (name, serial)

    async def _withdraw(self, number: int, store: MemoryPlatform) -> None:
        account = self.rng.choice(
            [name for name, keys in self.keys_by_account.items() if keys]
        )
        key = self.keys_by_account[account].pop()
        generation = await self._publish(
            number, store, services=[], accounts=self.accounts
        )
        self.fleet.withdrawn_by_key[key] = generation

    def _handed_over(self, publication: Publication) -> Publication:
        """Return what the tool knows, without the change if asked."""
        change = publication.change
        if change is None or self.hands_over:
            return publication
        bare = attrs.evolve(change, digest=b'')
        return attrs.evolve(publication, change=bare)

    async def _publish(
        self,
        number: int,
        store: MemoryPlatform,
        *,
        services: list[Service],
        accounts: Any,
    ) -> int:
        """Publish until it is stored and return the generation."""
        publication_id = f'{self.rng.getrandbits(64):016x}'
        base: dict[str, int] | None = None
        known = self.fleet.store.vm_records
        while True:
            store.faults.is_down = self.fleet.is_store_down
            if self.rng.random() < _LOST_ANSWER_SHARE:
                store.faults.answers_to_lose = 1
            try:
                if base is None:
                    names = [service.name for service in services]
                    base = await read_base(store, services=names)
                    await asyncio.sleep(self.rng.uniform(0, 0.1))
                outcome = await publish(
                    services=services,
                    accounts=accounts() if accounts else None,
                    publisher=f'operator-{number}',
                    publication_id=publication_id,
                    table=store,
                    objects=store,
                    base=base,
                )
            except PublishConflictError:
                self.fleet.counts['conflicts'] += 1
                base = None
                continue
            except StoreUnavailableError:
                self.fleet.counts['store_refusals'] += 1
                await asyncio.sleep(0.5)
                continue
            if outcome.outcome is PublishOutcome.UNKNOWN:
                self.fleet.counts['unknown'] += 1
                continue
            assert outcome.generation is not None
            self.publications[publication_id] = outcome.generation
            self.confirming.append(
                asyncio.create_task(
                    self.fleet.confirm(self._handed_over(outcome), known)
                )
            )
            return outcome.generation


def a_service(name: str, serial: int) -> Service:
    """Return a service whose queue limit shows the publish."""
    service = ServiceName(name)
    instance = Instance(
        instance_id=InstanceId(f'{name}-1'),
        address='127.0.0.1:9',
        placement=Placement(region='muscat', zone='muscat-a'),
    )
    route = Route(
        route_id=RouteId(f'{name}/read'),
        service=service,
        path=f'/{name}/*',
        methods=frozenset({'GET'}),
        idempotent=True,
    )
    return Service(
        name=service,
        instances_by_id={instance.instance_id: instance},
        routes_by_id={route.route_id: route},
        queue_limit=serial,
    )
