"""Loads the configuration and keeps the newest generation in force."""

import asyncio
from collections.abc import Callable, Collection, Mapping

import attrs

from bronzewall import publication_rows as rows
from bronzewall.config_codec import PartEntry
from bronzewall.config_model import Account, Configuration, Service
from bronzewall.config_state import (
    ConfigState,
    ConfigurationInForce,
    state_of,
    update_lookup_tables,
)
from bronzewall.errors import (
    NoConfigurationError,
    ObjectMissingError,
    SnapshotError,
)
from bronzewall.ports import Clock, ObjectStore, TableService
from bronzewall.types import AccountId, ServiceName

# A VM that lags by more generations reads the manifest, at the cost of two
# scans.
_MAX_HISTORY_READS = 20
_MAX_PARALLEL_GETS = 8


@attrs.define(kw_only=True, eq=False)
class ConfigFeed:
    """Holds the newest configuration that this VM has received.

    :param state: all parts of the generation in force.
    """

    clock: Clock
    table: TableService
    objects: ObjectStore
    state: ConfigState = attrs.field(factory=ConfigState)
    _in_force: ConfigurationInForce | None = None
    _listeners: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def generation(self) -> int:
        """The generation in force, 0 if there is none."""
        return self.state.generation

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a function to call after each generation is applied."""
        self._listeners.append(listener)

    def current(self) -> ConfigurationInForce:
        """Return the configuration in force with its look-up tables.

        :raises NoConfigurationError: nothing was loaded yet.
        """
        if self._in_force is None:
            raise NoConfigurationError('no configuration loaded yet')
        return self._in_force

    def accounts(self) -> Mapping[AccountId, Account]:
        """Return the accounts in force; empty before the first load."""
        if self._in_force is None:
            return {}
        return self._in_force.configuration.accounts_by_id

    def service_of(self, name: ServiceName) -> Service | None:
        """Return a service in force, or ``None``."""
        if self._in_force is None:
            return None
        return self._in_force.configuration.services_by_name.get(name)

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Apply a whole configuration if its generation is higher.

        :returns: whether it was applied.
        """
        if configuration.generation <= self.generation:
            return False
        state = state_of(configuration)
        parts = {**self.state.entries_by_part, **state.entries_by_part}
        return self._replace_state(state, parts)

    def apply_change(
        self,
        *,
        generation: int,
        digest: bytes,
        changes: Mapping[str, PartEntry],
        bodies_by_part: Mapping[str, bytes],
    ) -> bool:
        """Apply a change if it leads to a higher generation.

        :param digest: manifest digest of the generation.
        :param changes: at least the parts that changed since the
            generation in force.
        :returns: whether it was applied.
        :raises SnapshotError: the result has another digest, or a body is
            missing or damaged.
        """
        if generation <= self.generation:
            return False
        state = self.state.with_changes(
            generation=generation,
            digest=digest,
            changes=changes,
            bodies_by_part=bodies_by_part,
        )
        return self._replace_state(state, changes)

    async def poll(self) -> int:
        """Load the newest generation from the store and return it.

        :raises StoreError: the store did not answer.
        :raises SnapshotError: the rows read belong to different
            generations, because another publish was stored meanwhile.
        """
        found = await rows.read_generation_row(self.table)
        if found.row.generation > self.generation:
            await self._load(found.row)
        return found.row.generation

    async def fetch(
        self, digests_by_part: Mapping[str, bytes]
    ) -> dict[str, bytes]:
        """Return bodies of parts from the object store.

        :raises StoreError: the store did not answer.
        """
        limit = asyncio.Semaphore(_MAX_PARALLEL_GETS)

        async def get(digest: bytes) -> bytes:
            async with limit:
                return await self.objects.get(name=rows.object_name(digest))

        bodies = await asyncio.gather(*map(get, digests_by_part.values()))
        return dict(zip(digests_by_part, bodies, strict=True))

    async def _load(self, row: rows.GenerationRow) -> None:
        changes = await self._changes_up_to(row)
        bodies = dict(row.bodies_by_part)
        missing = self.state.missing_digests(changes)
        digests_to_fetch = {
            part: digest
            for part, digest in missing.items()
            if part not in bodies
        }
        try:
            bodies.update(await self.fetch(digests_to_fetch))
        except ObjectMissingError as exc:
            raise SnapshotError(
                f'part is missing from the object store: {exc}'
            ) from exc
        self.apply_change(
            generation=row.generation,
            digest=row.digest,
            changes=changes,
            bodies_by_part=bodies,
        )

    async def _changes_up_to(
        self, row: rows.GenerationRow
    ) -> Mapping[str, PartEntry]:
        own_generation = self.generation
        if (
            own_generation == 0
            or row.generation - own_generation > _MAX_HISTORY_READS
        ):
            return await rows.read_manifest(self.table)
        changes: dict[str, PartEntry] = {}
        for generation in range(own_generation + 1, row.generation + 1):
            history = await rows.read_history(self.table, generation)
            if history is None:
                return await rows.read_manifest(self.table)
            for part, digest in history.digests_by_part.items():
                changes[part] = PartEntry(generation=generation, digest=digest)
        return changes

    def _replace_state(
        self, state: ConfigState, changed: Collection[str]
    ) -> bool:
        self._in_force = update_lookup_tables(
            previous=self._in_force,
            old=self.state,
            new=state,
            changed=changed,
        )
        self.state = state
        for listener in self._listeners:
            listener()
        return True
