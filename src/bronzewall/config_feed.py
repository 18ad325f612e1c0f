"""The configuration in force on this VM."""

import asyncio
from collections.abc import Callable, Collection, Mapping

import attrs

from bronzewall import publication_rows as rows
from bronzewall.config_codec import PartEntry
from bronzewall.config_model import Account, Configuration, Service
from bronzewall.config_state import (
    ConfigState,
    InForce,
    put_in_force,
    state_of,
)
from bronzewall.errors import (
    NoConfigurationError,
    ObjectMissingError,
    SnapshotError,
)
from bronzewall.ports import Clock, ObjectStore, TableService
from bronzewall.types import AccountId, ServiceName

# A VM that is further behind reads the manifest, which costs two scans.
_MAX_HISTORY_READS = 20
_PARALLEL_GETS = 8


@attrs.define(kw_only=True, eq=False)
class ConfigFeed:
    """Keeps the newest configuration that this VM has seen."""

    clock: Clock
    table: TableService
    objects: ObjectStore
    state: ConfigState = attrs.field(factory=ConfigState)
    _in_force: InForce | None = None
    _listeners: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def generation(self) -> int:
        """Generation in force, 0 if none."""
        return self.state.generation

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function after each generation that is taken."""
        self._listeners.append(listener)

    def current(self) -> InForce:
        """Return what is in force.

        :raises NoConfigurationError: nothing was loaded yet.
        """
        if self._in_force is None:
            raise NoConfigurationError('no configuration loaded yet')
        return self._in_force

    def accounts(self) -> Mapping[AccountId, Account]:
        """Return the accounts in force, none before the first load."""
        if self._in_force is None:
            return {}
        return self._in_force.configuration.accounts_by_id

    def service_of(self, name: ServiceName) -> Service | None:
        """Return a service in force, ``None`` if there is none."""
        if self._in_force is None:
            return None
        return self._in_force.configuration.services_by_name.get(name)

    def offer(self, configuration: Configuration) -> bool:
        """Take a whole configuration if its generation is higher."""
        if configuration.generation <= self.generation:
            return False
        state = state_of(configuration)
        parts = {**self.state.entries_by_part, **state.entries_by_part}
        return self._take(state, parts)

    def advance(
        self,
        *,
        generation: int,
        digest: bytes,
        changes: Mapping[str, PartEntry],
        bodies_by_part: Mapping[str, bytes],
    ) -> bool:
        """Take a change if it leads to a higher generation.

        :param digest: manifest digest of the generation.
        :param changes: at least the parts that changed since the
            generation in force.
        :raises SnapshotError: the change does not lead to the digest.
        """
        if generation <= self.generation:
            return False
        state = self.state.advanced(
            generation=generation,
            digest=digest,
            changes=changes,
            bodies_by_part=bodies_by_part,
        )
        return self._take(state, changes)

    async def poll(self) -> int:
        """Load the newest generation from the store and return it.

        :raises StoreError: the store did not answer.
        :raises SnapshotError: what was read does not fit together, because
            another publish came in between.
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
        limit = asyncio.Semaphore(_PARALLEL_GETS)

        async def get(digest: bytes) -> bytes:
            async with limit:
                return await self.objects.get(name=rows.object_name(digest))

        bodies = await asyncio.gather(*map(get, digests_by_part.values()))
        return dict(zip(digests_by_part, bodies, strict=True))

    async def _load(self, row: rows.GenerationRow) -> None:
        changes = await self._changes_until(row)
        bodies = dict(row.bodies_by_part)
        missing = self.state.missing(changes)
        wanted = {
            part: digest
            for part, digest in missing.items()
            if part not in bodies
        }
        try:
            bodies.update(await self.fetch(wanted))
        except ObjectMissingError as exc:
            raise SnapshotError(f'part not in the object store: {exc}') from exc
        self.advance(
            generation=row.generation,
            digest=row.digest,
            changes=changes,
            bodies_by_part=bodies,
        )

    async def _changes_until(
        self, row: rows.GenerationRow
    ) -> Mapping[str, PartEntry]:
        own = self.generation
        if own == 0 or row.generation - own > _MAX_HISTORY_READS:
            return await rows.read_manifest(self.table)
        changes: dict[str, PartEntry] = {}
        for generation in range(own + 1, row.generation + 1):
            history = await rows.read_history(self.table, generation)
            if history is None:
                return await rows.read_manifest(self.table)
            for part, digest in history.digests_by_part.items():
                changes[part] = PartEntry(generation=generation, digest=digest)
        return changes

    def _take(self, state: ConfigState, changed: Collection[str]) -> bool:
        self._in_force = put_in_force(
            previous=self._in_force,
            old=self.state,
            new=state,
            changed=changed,
        )
        self.state = state
        for listener in self._listeners:
            listener()
        return True
