"""Publishes parts of the configuration through the table service."""

import asyncio
import enum
import random
from collections.abc import Mapping, Sequence

import attrs

from bronzewall import publication_rows as rows
from bronzewall.config_codec import (
    ACCOUNTS_PREFIX,
    PartEntry,
    body_digest,
    encode_accounts,
    encode_service,
    manifest_digest,
    service_part,
)
from bronzewall.config_model import Account, Service
from bronzewall.errors import (
    PublishConflictError,
    StoreAnswerLostError,
    StoreConflictError,
    StoreUnavailableError,
)
from bronzewall.ports import ObjectStore, TableService
from bronzewall.published_change import PublishedChange
from bronzewall.types import RowCheck, RowWrite, ServiceName

# Bodies up to this size travel inside the generation row, which each
# reader reads three times a second: at most 7 KB/s of its 18 KB/s.
_INLINE_BYTES = 2048
# The first accounts file may have thousands of parts.
_PARALLEL_PUTS = 16
_ABSENT = PartEntry(generation=0, digest=b'')
_RETRY_DELAY_S = 0.1
_DEFAULT_TIMEOUT_S = 15.0


class PublishOutcome(enum.StrEnum):
    """What is known about a publication."""

    STORED = 'stored'
    UNKNOWN = 'unknown'


@attrs.frozen(kw_only=True)
class Publication:
    """Result of :func:`publish`.

    :param generation: the generation, or ``None`` if the outcome is
        unknown; publishing again with the same id then finds out.
    :param change: what to hand to the VMs, or ``None`` if unknown.
    """

    publication_id: str
    outcome: PublishOutcome
    generation: int | None
    change: PublishedChange | None = None


@attrs.frozen(kw_only=True)
class _Wanted:
    """What one call of :func:`publish` wants to store.

    :param bodies_by_part: new bodies; ``None`` removes the part.
    :param has_accounts: the accounts' parts that are not listed vanish.
    """

    publication_id: str
    publisher: str
    bodies_by_part: Mapping[str, bytes | None]
    has_accounts: bool

    def guard_keys(self) -> list[str]:
        """Return the rows that another publish must not have changed."""
        guards = [
            part
            for part in self.bodies_by_part
            if not part.startswith(ACCOUNTS_PREFIX)
        ]
        return [*guards, rows.ACCOUNTS_KEY] if self.has_accounts else guards


@attrs.define(kw_only=True)
class _Progress:
    """What is known about the attempts of one publish.

    :param base: row versions that the publish is based on, by row key.
    :param sent_by_generation: what the transactions begun would store.
    :param is_lost: an attempt's answer was lost.
    """

    base: dict[str, int]
    is_lost: bool = False
    stored_digests: set[bytes] = attrs.field(factory=set)
    sent_by_generation: dict[int, PublishedChange] = attrs.field(factory=dict)


async def read_base(
    table: TableService, *, services: Sequence[ServiceName]
) -> dict[str, int]:
    """Return the row versions on which a later publish can be based.

    An operator's tool reads them before the files are edited and passes
    them to :func:`publish`, which then refuses to overwrite what somebody
    else published in between.

    :raises StoreUnavailableError: the service did not answer.
    """
    keys = [*map(service_part, services), rows.ACCOUNTS_KEY]
    return {key: await _version(table, key) for key in keys}


async def publish(
    *,
    services: Sequence[Service],
    accounts: Sequence[Account] | None,
    publisher: str,
    publication_id: str,
    table: TableService,
    objects: ObjectStore,
    removed: Sequence[ServiceName] = (),
    base: Mapping[str, int] | None = None,
    timeout: float = _DEFAULT_TIMEOUT_S,
) -> Publication:
    """Store services and accounts as the next generation.

    A call with a publication id that is stored already changes nothing
    and returns the generation of that publication.

    :param services: services to store; all others stay as they are.
    :param accounts: all accounts, or ``None`` to leave them.
    :param publisher: name shown to operators who come into conflict.
    :param removed: services to remove.
    :param base: result of :func:`read_base`; by default the rows as they
        are when the call starts.
    :param timeout: seconds after which a publish with a lost answer is
        reported as unknown.
    :raises PublishConflictError: another operator published one of the
        services, or the accounts, since ``base``.
    :raises StoreUnavailableError: nothing was published.
    """
    wanted = _Wanted(
        publication_id=publication_id,
        publisher=publisher,
        bodies_by_part=_bodies(services, accounts, removed),
        has_accounts=accounts is not None,
    )
    progress = _Progress(base=dict(base or {}))
    try:
        async with asyncio.timeout(timeout):
            change = await _publish_until_known(
                wanted, progress, table, objects
            )
    except TimeoutError:
        if not progress.sent_by_generation:
            raise StoreUnavailableError('no answer in time') from None
        return _unknown(wanted)
    except StoreUnavailableError:
        if progress.is_lost:
            return _unknown(wanted)
        raise
    return Publication(
        publication_id=publication_id,
        outcome=PublishOutcome.STORED,
        generation=change.generation,
        change=change,
    )


async def _publish_until_known(
    wanted: _Wanted,
    progress: _Progress,
    table: TableService,
    objects: ObjectStore,
) -> PublishedChange:
    delays = random.Random(wanted.publication_id)
    while True:
        try:
            return await _attempt(wanted, progress, table, objects)
        except StoreAnswerLostError:
            # The next attempt looks for the publication id. If the write
            # is still on its way, one of the two fails its checks.
            progress.is_lost = True
        except StoreUnavailableError:
            if not progress.is_lost:
                raise
        except StoreConflictError:
            # Somebody published; the next attempt tells what.
            await asyncio.sleep(_RETRY_DELAY_S * delays.random())
            continue
        await asyncio.sleep(_RETRY_DELAY_S)


async def _attempt(
    wanted: _Wanted,
    progress: _Progress,
    table: TableService,
    objects: ObjectStore,
) -> PublishedChange:
    # The generation row is read first: its version is checked by the
    # transaction, so whatever is read after it is still true then.
    current = await rows.read_generation_row(table)
    known = await rows.read_publication(table, wanted.publication_id)
    if known is not None:
        # With an attempt of this call the content is known as well; its
        # answer was lost, but the VMs need not wait for their readers.
        return progress.sent_by_generation.get(known, _change(wanted, known))
    await _check_base(wanted, progress, table)
    entries = await rows.read_manifest(table)
    generation = current.row.generation + 1
    changes = _changes(wanted, entries, generation)
    bodies = {
        part: body
        for part, body in wanted.bodies_by_part.items()
        if part in changes and body is not None
    }
    await _put_all(bodies, progress, objects)
    row = rows.GenerationRow(
        generation=generation,
        digest=manifest_digest({**entries, **changes}),
        publication_id=wanted.publication_id,
        publisher=wanted.publisher,
        bodies_by_part=_inline(bodies),
    )
    change = attrs.evolve(
        _change(wanted, generation),
        digest=row.digest,
        changes=changes,
        bodies_by_part=bodies,
    )
    progress.sent_by_generation[generation] = change
    await table.transact(
        checks=_checks(wanted, progress, current.version),
        writes=[
            *_writes(wanted, row, changes),
            *await rows.forgotten(table, generation),
        ],
    )
    return change


async def _put_all(
    bodies: Mapping[str, bytes], progress: _Progress, objects: ObjectStore
) -> None:
    """Store the bodies that no earlier attempt has stored."""
    limit = asyncio.Semaphore(_PARALLEL_PUTS)

    async def put(body: bytes) -> None:
        digest = body_digest(body)
        async with limit:
            await objects.put(name=rows.object_name(digest), body=body)
        progress.stored_digests.add(digest)

    await asyncio.gather(
        *(
            put(body)
            for body in bodies.values()
            if body_digest(body) not in progress.stored_digests
        )
    )


async def _check_base(
    wanted: _Wanted, progress: _Progress, table: TableService
) -> None:
    for key in wanted.guard_keys():
        found = await table.read(table=rows.CONFIG_TABLE, key=key)
        version = found.version if found else 0
        if progress.base.setdefault(key, version) == version:
            continue
        if found is None:
            raise PublishConflictError(part=key, publisher='unknown')
        other = rows.decode_part_row(found)
        if other.publication_id == wanted.publication_id:
            raise StoreConflictError('own write arrived late')
        name = key.rpartition('/')[2]
        raise PublishConflictError(part=name, publisher=other.publisher)


def _changes(
    wanted: _Wanted, entries: Mapping[str, PartEntry], generation: int
) -> dict[str, PartEntry]:
    """Return the new entries of the parts that differ."""
    bodies = dict(wanted.bodies_by_part)
    if wanted.has_accounts:
        for part in entries:
            if part.startswith(ACCOUNTS_PREFIX):
                bodies.setdefault(part, None)
    changes = {}
    for part, body in bodies.items():
        digest = b'' if body is None else body_digest(body)
        before = entries.get(part, _ABSENT)
        if digest != before.digest:
            changes[part] = PartEntry(generation=generation, digest=digest)
    return changes


def _checks(
    wanted: _Wanted, progress: _Progress, version: int
) -> list[RowCheck]:
    versions_by_key = {
        rows.GENERATION_KEY: version,
        rows.publication_key(wanted.publication_id): 0,
        **{key: progress.base[key] for key in wanted.guard_keys()},
    }
    return [
        RowCheck(table=rows.CONFIG_TABLE, key=key, version=expected)
        for key, expected in versions_by_key.items()
    ]


def _writes(
    wanted: _Wanted,
    row: rows.GenerationRow,
    changes: Mapping[str, PartEntry],
) -> list[RowWrite]:
    contents_by_key: dict[str, object] = {
        rows.GENERATION_KEY: row,
        rows.publication_key(wanted.publication_id): row.generation,
        rows.history_key(row.generation): rows.HistoryRow(
            publication_id=wanted.publication_id,
            publisher=wanted.publisher,
            digests_by_part={
                part: entry.digest for part, entry in changes.items()
            },
        ),
    }
    digests_by_part = {part: entry.digest for part, entry in changes.items()}
    if wanted.has_accounts:
        digests_by_part[rows.ACCOUNTS_KEY] = b''
    for part, digest in digests_by_part.items():
        contents_by_key[part] = rows.PartRow(
            generation=row.generation,
            digest=digest,
            publication_id=wanted.publication_id,
            publisher=wanted.publisher,
        )
    return [
        RowWrite(
            table=rows.CONFIG_TABLE, key=key, value=rows.encode_row(contents)
        )
        for key, contents in contents_by_key.items()
    ]


async def _version(table: TableService, key: str) -> int:
    found = await table.read(table=rows.CONFIG_TABLE, key=key)
    return found.version if found else 0


def _bodies(
    services: Sequence[Service],
    accounts: Sequence[Account] | None,
    removed: Sequence[ServiceName],
) -> dict[str, bytes | None]:
    bodies: dict[str, bytes | None] = {
        service_part(service.name): encode_service(service)
        for service in services
    }
    bodies.update({service_part(name): None for name in removed})
    bodies.update(encode_accounts(accounts or ()))
    return bodies


def _inline(bodies: Mapping[str, bytes]) -> Mapping[str, bytes]:
    size = sum(len(body) for body in bodies.values())
    return bodies if size <= _INLINE_BYTES else {}


def _change(wanted: _Wanted, generation: int) -> PublishedChange:
    return PublishedChange(
        generation=generation,
        keys_generation=generation if wanted.has_accounts else 0,
    )


def _unknown(wanted: _Wanted) -> Publication:
    return Publication(
        publication_id=wanted.publication_id,
        outcome=PublishOutcome.UNKNOWN,
        generation=None,
    )
