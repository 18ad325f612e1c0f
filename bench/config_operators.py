"""Concurrent operators of the configuration bench."""

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
_LOST_ANSWER_FRACTION = 0.1
# Fraction of publishes without a pause after the last one, to cause races.
_BACK_TO_BACK_FRACTION = 0.3
_PAUSE_S = 7.0


@attrs.define(kw_only=True, eq=False)
class Operators:
    """Operators who publish concurrently.

    :param stored: service and serial by generation.
    :param publications: generation by publication id.
    :param sends_changes: whether the tool sends changes directly to the VMs.
    :param confirmations: tasks that wait until a publish is in force.
    """

    fleet: Fleet
    rng: random.Random
    keys_by_account: dict[str, list[str]]
    serials: Iterator[int]
    stored: dict[int, tuple[str, int]] = attrs.field(factory=dict)
    publications: dict[str, int] = attrs.field(factory=dict)
    started: int = 0
    limit: int = PUBLISHES
    sends_changes: bool = True
    confirmations: list[asyncio.Task[None]] = attrs.field(factory=list)

    async def run(self, number: int) -> None:
        """Publish until all operators together reach the limit."""
        clock = VirtualClock()
        store = self.fleet.platform(STORE_REGION, clock)
        while self.started < self.limit:
            self.started += 1
            store.faults.is_down = self.fleet.is_store_down
            if self.started % _WITHDRAWAL_EVERY == 0:
                await self._withdraw(number, store)
            else:
                await self._change(number, store)
            if self.rng.random() > _BACK_TO_BACK_FRACTION:
                await clock.sleep(self.rng.uniform(0, _PAUSE_S))

    def accounts(self) -> list[Account]:
        """Return the accounts with their remaining keys."""
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
            number, store, services=[build_service(name, serial)], accounts=None
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

    def _publication_to_confirm(self, publication: Publication) -> Publication:
        """Return the publication, with a blank digest if tools send nothing."""
        change = publication.change
        if change is None or self.sends_changes:
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
        """Retry a publish until it is stored and return its generation."""
        publication_id = f'{self.rng.getrandbits(64):016x}'
        base: dict[str, int] | None = None
        known = self.fleet.store.vm_records
        while True:
            store.faults.is_down = self.fleet.is_store_down
            if self.rng.random() < _LOST_ANSWER_FRACTION:
                store.faults.lose_answers = 1
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
            self.confirmations.append(
                asyncio.create_task(
                    self.fleet.confirm(
                        self._publication_to_confirm(outcome), known
                    )
                )
            )
            return outcome.generation


def build_service(name: str, serial: int) -> Service:
    """Return a service whose queue limit is the serial of the publish."""
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
