"""The parts of the configuration in force and how a change is applied."""

from collections.abc import Collection, Iterator, Mapping
from functools import lru_cache

import attrs

from bronzewall.config_codec import (
    ACCOUNTS_PREFIX,
    NO_PARTS_DIGEST,
    SERVICE_PREFIX,
    PartEntry,
    account_part,
    body_digest,
    changed_digest,
    decode_account,
    decode_accounts,
    decode_service,
    encode_accounts,
    encode_service,
    manifest_digest,
    service_part,
)
from bronzewall.config_model import Account, Configuration, Route, Service
from bronzewall.errors import SnapshotError
from bronzewall.key_table import KeyTable
from bronzewall.routing import RouteTable
from bronzewall.types import AccountId, ServiceName

# Accounts and services in use are kept decoded. At two years' size they
# take about 10 MB and 30 MB.
_DECODED_ACCOUNTS = 20_000
_DECODED_SERVICES = 1024


@attrs.frozen(kw_only=True)
class ConfigState:
    """All parts at one generation, as bodies with digests.

    :param keys_generation: the newest generation that changed accounts.
    """

    generation: int = 0
    digest: bytes = NO_PARTS_DIGEST
    keys_generation: int = 0
    entries_by_part: Mapping[str, PartEntry] = attrs.field(factory=dict)
    bodies_by_part: Mapping[str, bytes] = attrs.field(factory=dict)

    def changes_since(self, generation: int) -> dict[str, PartEntry]:
        """Return the parts that changed after a generation."""
        return {
            part: entry
            for part, entry in self.entries_by_part.items()
            if entry.generation > generation
        }

    def missing(self, changes: Mapping[str, PartEntry]) -> dict[str, bytes]:
        """Return the digests of the changed parts whose body is unknown."""
        return {
            part: entry.digest
            for part, entry in changes.items()
            if entry.digest and not self._holds(part, entry.digest)
        }

    def advanced(
        self,
        *,
        generation: int,
        digest: bytes,
        changes: Mapping[str, PartEntry],
        bodies_by_part: Mapping[str, bytes],
    ) -> 'ConfigState':
        """Return the state after a change.

        :param digest: manifest digest that the result must have.
        :raises SnapshotError: a body or the result has another digest.
        """
        bodies = dict(self.bodies_by_part)
        for part, entry in changes.items():
            if not entry.digest:
                bodies.pop(part, None)
            elif not self._holds(part, entry.digest):
                bodies[part] = _verified(part, entry, bodies_by_part)
        replaced = {
            name: self.entries_by_part[name]
            for name in changes
            if name in self.entries_by_part
        }
        result = changed_digest(self.digest, removed=replaced, added=changes)
        if result != digest:
            raise SnapshotError(f'manifest of generation {generation} differs')
        return ConfigState(
            generation=generation,
            digest=digest,
            keys_generation=max(
                self.keys_generation, _keys_generation(changes)
            ),
            entries_by_part={**self.entries_by_part, **changes},
            bodies_by_part=bodies,
        )

    def _holds(self, part: str, digest: bytes) -> bool:
        entry = self.entries_by_part.get(part)
        return entry is not None and entry.digest == digest


class PackedAccounts(Mapping[AccountId, Account]):
    """Accounts by id, decoded from their parts when they are asked for.

    640,000 decoded accounts would exceed the memory of a VM.
    """

    def __init__(self, *, bodies_by_part: Mapping[str, bytes]) -> None:
        """Keep the bodies of all parts, of which it reads the accounts."""
        self._bodies_by_part = bodies_by_part

    def __getitem__(self, account_id: AccountId) -> Account:
        """Return one account."""
        body = self._bodies_by_part.get(account_part(account_id))
        if body is None:
            raise KeyError(account_id)
        account = _account_of(body, account_id)
        if account is None:
            raise KeyError(account_id)
        return account

    def __iter__(self) -> Iterator[AccountId]:
        """Return all account ids."""
        for part, body in self._bodies_by_part.items():
            if not part.startswith(ACCOUNTS_PREFIX):
                continue
            for account in decode_accounts(body):
                yield account.account_id

    def __len__(self) -> int:
        """Return the number of accounts."""
        return sum(1 for _ in self)


class PackedServices(Mapping[ServiceName, Service]):
    """Services by name, decoded when they are asked for.

    The 200,000 decoded instances of two years would exceed the memory of a
    VM. A service keeps its identity while it is in use.
    """

    def __init__(self, *, bodies_by_part: Mapping[str, bytes]) -> None:
        """Keep the bodies of all parts, of which it reads the services."""
        self._bodies_by_part = bodies_by_part

    def __getitem__(self, name: ServiceName) -> Service:
        """Return one service."""
        return _service_of(self._bodies_by_part[service_part(name)])

    def __iter__(self) -> Iterator[ServiceName]:
        """Return all service names."""
        for part in self._bodies_by_part:
            if part.startswith(SERVICE_PREFIX):
                yield ServiceName(part.removeprefix(SERVICE_PREFIX))

    def __len__(self) -> int:
        """Return the number of services."""
        return sum(1 for _ in self)


@attrs.frozen(kw_only=True)
class InForce:
    """A configuration with the look-up tables built from it.

    The tables are changed in place when the next generation is taken, so
    a caller reads them without waiting in between.
    """

    configuration: Configuration
    routes: RouteTable
    keys: KeyTable


def state_of(configuration: Configuration) -> ConfigState:
    """Return the parts of a configuration, all as new."""
    bodies = encode_accounts(configuration.accounts_by_id.values())
    for service in configuration.services_by_name.values():
        bodies[service_part(service.name)] = encode_service(service)
    entries = {
        part: PartEntry(
            generation=configuration.generation, digest=body_digest(body)
        )
        for part, body in bodies.items()
    }
    return ConfigState(
        generation=configuration.generation,
        digest=manifest_digest(entries),
        keys_generation=_keys_generation(entries),
        entries_by_part=entries,
        bodies_by_part=bodies,
    )


def put_in_force(
    *,
    previous: InForce | None,
    old: ConfigState,
    new: ConfigState,
    changed: Collection[str],
) -> InForce:
    """Return the look-up tables of a state, built from the previous ones.

    :param changed: the parts that may differ between the states.
    :raises SnapshotError: a part has another form; nothing was changed.
    """
    routes_before = _routes_of(changed, old)
    routes_after = _routes_of(changed, new)
    removed, added = _changed_accounts(changed, old, new)
    if previous is None:
        previous = _nothing()
    routes, keys = previous.routes, previous.keys
    for old_route in routes_before:
        routes.remove(old_route)
    for route in routes_after:
        routes.add(route)
    keys.update(removed=removed, added=added)
    return InForce(
        configuration=Configuration(
            generation=new.generation,
            services_by_name=PackedServices(bodies_by_part=new.bodies_by_part),
            accounts_by_id=PackedAccounts(bodies_by_part=new.bodies_by_part),
        ),
        routes=routes,
        keys=keys,
    )


def _keys_generation(entries_by_part: Mapping[str, PartEntry]) -> int:
    generations = (
        entry.generation
        for part, entry in entries_by_part.items()
        if part.startswith(ACCOUNTS_PREFIX)
    )
    return max(generations, default=0)


def _nothing() -> InForce:
    return InForce(
        configuration=Configuration(
            generation=0, services_by_name={}, accounts_by_id={}
        ),
        routes=RouteTable(),
        keys=KeyTable(),
    )


def _routes_of(changed: Collection[str], state: ConfigState) -> list[Route]:
    """Return the routes of changed services; decodes these in full.

    A service with a form that this VM does not know must be refused now
    and not at the first request.
    """
    routes: list[Route] = []
    for part in changed:
        body = state.bodies_by_part.get(part)
        if body is not None and part.startswith(SERVICE_PREFIX):
            routes.extend(decode_service(body).routes_by_id.values())
    return routes


def _changed_accounts(
    changed: Collection[str], old: ConfigState, new: ConfigState
) -> tuple[list[Account], list[Account]]:
    removed: list[Account] = []
    added: list[Account] = []
    for part in changed:
        if part.startswith(ACCOUNTS_PREFIX):
            before = _accounts_of(old, part)
            after = _accounts_of(new, part)
            removed.extend(_without(before, after))
            added.extend(_without(after, before))
    return removed, added


def _without(some: list[Account], others: list[Account]) -> list[Account]:
    """Return the accounts that are not the same in both lists."""
    by_id = {account.account_id: account for account in others}
    return [acc for acc in some if by_id.get(acc.account_id) != acc]


def _accounts_of(state: ConfigState, part: str) -> list[Account]:
    body = state.bodies_by_part.get(part)
    return [] if body is None else list(decode_accounts(body))


def _verified(
    part: str, entry: PartEntry, bodies_by_part: Mapping[str, bytes]
) -> bytes:
    body = bodies_by_part.get(part)
    if body is None:
        raise SnapshotError(f'the body of {part} is missing')
    if body_digest(body) != entry.digest:
        raise SnapshotError(f'the body of {part} has another digest')
    return body


@lru_cache(maxsize=_DECODED_ACCOUNTS)
def _account_of(body: bytes, account_id: AccountId) -> Account | None:
    return decode_account(body, account_id)


@lru_cache(maxsize=_DECODED_SERVICES)
def _service_of(body: bytes) -> Service:
    return decode_service(body)
