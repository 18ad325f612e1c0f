"""State of the configuration, and how a change is applied to it."""

from collections.abc import Collection, Iterator, Mapping
from functools import lru_cache

import attrs

from bronzewall.config_codec import (
    ACCOUNTS_PREFIX,
    EMPTY_MANIFEST_DIGEST,
    SERVICE_PREFIX,
    PartEntry,
    account_part,
    body_digest,
    decode_account,
    decode_accounts,
    decode_service,
    encode_accounts,
    encode_service,
    manifest_digest,
    service_part,
    update_manifest_digest,
)
from bronzewall.config_model import Account, Configuration, Route, Service
from bronzewall.errors import SnapshotError
from bronzewall.key_table import KeyTable
from bronzewall.routing import RouteTable
from bronzewall.types import AccountId, ServiceName

# Caches of decoded accounts and services that are in use. At the size that
# is expected after two years they take about 10 MB and 30 MB.
_ACCOUNT_CACHE_SIZE = 20_000
_SERVICE_CACHE_SIZE = 1024


@attrs.frozen(kw_only=True)
class ConfigState:
    """All parts at one generation, as encoded bodies with digests.

    :param digest: manifest digest over all entries.
    :param keys_generation: the newest generation that changed accounts.
    :param entries_by_part: manifest entries, also of removed parts.
    :param bodies_by_part: encoded parts that exist.
    """

    generation: int = 0
    digest: bytes = EMPTY_MANIFEST_DIGEST
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

    def missing_digests(
        self, changes: Mapping[str, PartEntry]
    ) -> dict[str, bytes]:
        """Return the digests of changed parts whose body is not held here."""
        return {
            part: entry.digest
            for part, entry in changes.items()
            if entry.digest and not self._has_body(part, entry.digest)
        }

    def with_changes(
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
            elif not self._has_body(part, entry.digest):
                bodies[part] = _verified_body(part, entry, bodies_by_part)
        replaced = {
            name: self.entries_by_part[name]
            for name in changes
            if name in self.entries_by_part
        }
        result = update_manifest_digest(
            self.digest, removed=replaced, added=changes
        )
        if result != digest:
            raise SnapshotError(
                f'manifest of generation {generation} has another digest'
            )
        return ConfigState(
            generation=generation,
            digest=digest,
            keys_generation=max(
                self.keys_generation, _keys_generation(changes)
            ),
            entries_by_part={**self.entries_by_part, **changes},
            bodies_by_part=bodies,
        )

    def _has_body(self, part: str, digest: bytes) -> bool:
        entry = self.entries_by_part.get(part)
        return entry is not None and entry.digest == digest


class PackedAccounts(Mapping[AccountId, Account]):
    """Accounts by id, decoded from their parts on access.

    640,000 decoded accounts would exceed the memory of a VM.
    """

    def __init__(self, *, bodies_by_part: Mapping[str, bytes]) -> None:
        """Wrap the bodies of all parts; only those of accounts are read."""
        self._bodies_by_part = bodies_by_part

    def __getitem__(self, account_id: AccountId) -> Account:
        """Return one account."""
        body = self._bodies_by_part.get(account_part(account_id))
        if body is None:
            raise KeyError(account_id)
        account = _cached_account(body, account_id)
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
    """Services by name, decoded on access.

    The 200,000 decoded instances that are expected after two years would
    exceed the memory of a VM. While a service is in the cache, each access
    returns the same object.
    """

    def __init__(self, *, bodies_by_part: Mapping[str, bytes]) -> None:
        """Wrap the bodies of all parts; only those of services are read."""
        self._bodies_by_part = bodies_by_part

    def __getitem__(self, name: ServiceName) -> Service:
        """Return one service."""
        return _cached_service(self._bodies_by_part[service_part(name)])

    def __iter__(self) -> Iterator[ServiceName]:
        """Return all service names."""
        for part in self._bodies_by_part:
            if part.startswith(SERVICE_PREFIX):
                yield ServiceName(part.removeprefix(SERVICE_PREFIX))

    def __len__(self) -> int:
        """Return the number of services."""
        return sum(1 for _ in self)


@attrs.frozen(kw_only=True)
class ConfigurationInForce:
    """The configuration in force, with look-up tables built from it.

    The configuration in force is the one that this VM uses to decide. The
    tables are changed in place when the next generation is applied, so a
    caller must not await anything between two reads that belong together.
    """

    configuration: Configuration
    routes: RouteTable
    keys: KeyTable


def state_of(configuration: Configuration) -> ConfigState:
    """Return the state of a configuration, with every part marked as new."""
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


def update_lookup_tables(
    *,
    previous: ConfigurationInForce | None,
    old: ConfigState,
    new: ConfigState,
    changed: Collection[str],
) -> ConfigurationInForce:
    """Update the look-up tables to a new state and return the result.

    :param previous: the tables to update in place; ``None`` starts with
        empty ones.
    :param changed: the parts that may differ between the states.
    :raises SnapshotError: a part cannot be decoded; nothing was changed.
    """
    routes_before = _routes_of(changed, old)
    routes_after = _routes_of(changed, new)
    removed, added = _changed_accounts(changed, old, new)
    if previous is None:
        previous = _empty_tables()
    routes, keys = previous.routes, previous.keys
    for old_route in routes_before:
        routes.remove(old_route)
    for route in routes_after:
        routes.add(route)
    keys.update(removed=removed, added=added)
    return ConfigurationInForce(
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


def _empty_tables() -> ConfigurationInForce:
    return ConfigurationInForce(
        configuration=Configuration(
            generation=0, services_by_name={}, accounts_by_id={}
        ),
        routes=RouteTable(),
        keys=KeyTable(),
    )


def _routes_of(changed: Collection[str], state: ConfigState) -> list[Route]:
    """Return the routes of changed services, each decoded in full.

    A service that this VM cannot decode must be refused now and not at its
    first request.
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
            removed.extend(_accounts_not_in(before, after))
            added.extend(_accounts_not_in(after, before))
    return removed, added


def _accounts_not_in(
    accounts: list[Account], others: list[Account]
) -> list[Account]:
    """Return the accounts that are absent or different in the others."""
    by_id = {account.account_id: account for account in others}
    return [
        account
        for account in accounts
        if by_id.get(account.account_id) != account
    ]


def _accounts_of(state: ConfigState, part: str) -> list[Account]:
    body = state.bodies_by_part.get(part)
    return [] if body is None else list(decode_accounts(body))


def _verified_body(
    part: str, entry: PartEntry, bodies_by_part: Mapping[str, bytes]
) -> bytes:
    body = bodies_by_part.get(part)
    if body is None:
        raise SnapshotError(f'the body of {part} is missing')
    if body_digest(body) != entry.digest:
        raise SnapshotError(f'the body of {part} has another digest')
    return body


@lru_cache(maxsize=_ACCOUNT_CACHE_SIZE)
def _cached_account(body: bytes, account_id: AccountId) -> Account | None:
    return decode_account(body, account_id)


@lru_cache(maxsize=_SERVICE_CACHE_SIZE)
def _cached_service(body: bytes) -> Service:
    return decode_service(body)
