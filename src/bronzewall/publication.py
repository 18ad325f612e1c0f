"""Publishes services and accounts through the table service."""

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

# Bodies up to this total size are stored in the generation row. Each reader
# reads that row three times a second, so they take at most 7 KB/s of its
# 18 KB/s.
_MAX_INLINE_BYTES = 2048
# Bounds the open requests of a first publish, whose accounts may make
# thousands of parts.
_MAX_PARALLEL_PUTS = 16
_ABSENT_ENTRY = PartEntry(generation=0, digest=b'')
_RETRY_DELAY_S = 0.1
_DEFAULT_TIMEOUT_S = 15.0


class PublishOutcome(enum.StrEnum):
    """Whether a publication is known to be stored."""

    STORED = 'stored'
    UNKNOWN = 'unknown'


@attrs.frozen(kw_only=True)
class Publication:
    """Result of :func:`publish`.

    :param generation: the generation, or ``None`` if the outcome is
        unknown; publishing again with the same id then determines it.
    :param change: the change to send to the VMs, or ``None`` if the
        outcome is unknown.
    """

    publication_id: str
    outcome: PublishOutcome
    generation: int | None
    change: PublishedChange | None = None


@attrs.frozen(kw_only=True)
class _PublishRequest:
    """What one call of :func:`publish` is to store.

    :param bodies_by_part: new bodies; ``None`` removes the part.
    :param has_accounts: whether all accounts are replaced; parts with
        accounts that are not listed are then removed.
    """

    publication_id: str
    publisher: str
    bodies_by_part: Mapping[str, bytes | None]
    has_accounts: bool

    def checked_row_keys(self) -> list[str]:
        """Return the keys of rows that no other publish may have changed.

        All parts with accounts are guarded by one row.
        """
        keys = [
            part
            for part in self.bodies_by_part
            if not part.startswith(ACCOUNTS_PREFIX)
        ]
        return [*keys, rows.ACCOUNTS_KEY] if self.has_accounts else keys


@attrs.define(kw_only=True)
class _Attempts:
    """State of one publish over its attempts.

    :param base: row versions that the publish is based on, by row key.
    :param has_lost_answer: whether the answer to any attempt was lost.
    :param stored_digests: digests of the bodies in the object store.
    :param sent_by_generation: change of each transaction that was sent, by
        the generation that it would store.
    """

    base: dict[str, int]
    has_lost_answer: bool = False
    stored_digests: set[bytes] = attrs.field(factory=set)
    sent_by_generation: dict[int, PublishedChange] = attrs.field(factory=dict)


async def read_base(
    table: TableService, *, services: Sequence[ServiceName]
) -> dict[str, int]:
    """Return the row versions on which a later publish can be based.

    An operator's tool reads them before the files are edited and passes
    them to :func:`publish`, which then refuses to overwrite what another
    operator published in between.

    :raises StoreUnavailableError: the service did not answer.
    """
    keys = [*map(service_part, services), rows.ACCOUNTS_KEY]
    return {key: await _read_version(table, key) for key in keys}


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

    A call with a publication id that is already stored changes nothing
    and returns the generation of that publication.

    :param services: services to store; all others stay as they are.
    :param accounts: all accounts, or ``None`` to leave them unchanged.
    :param publisher: name shown to an operator whose publish conflicts.
    :param removed: services to remove.
    :param base: result of :func:`read_base`; by default the row versions
        when the call starts.
    :param timeout: seconds after which a publish with a lost answer is
        reported as unknown.
    :raises PublishConflictError: another operator published one of the
        services, or the accounts, since ``base``.
    :raises StoreUnavailableError: nothing was published.
    """
    request = _PublishRequest(
        publication_id=publication_id,
        publisher=publisher,
        bodies_by_part=_encode_parts(services, accounts, removed),
        has_accounts=accounts is not None,
    )
    attempts = _Attempts(base=dict(base or {}))
    try:
        async with asyncio.timeout(timeout):
            change = await _publish_with_retries(
                request, attempts, table, objects
            )
    except TimeoutError:
        if not attempts.sent_by_generation:
            raise StoreUnavailableError(
                'the store did not answer in time'
            ) from None
        return _unknown_publication(request)
    except StoreUnavailableError:
        if attempts.has_lost_answer:
            return _unknown_publication(request)
        raise
    return Publication(
        publication_id=publication_id,
        outcome=PublishOutcome.STORED,
        generation=change.generation,
        change=change,
    )


async def _publish_with_retries(
    request: _PublishRequest,
    attempts: _Attempts,
    table: TableService,
    objects: ObjectStore,
) -> PublishedChange:
    delays = random.Random(request.publication_id)
    while True:
        try:
            return await _attempt_publish(request, attempts, table, objects)
        except StoreAnswerLostError:
            # The next attempt looks up the publication id. If the lost write
            # is still in transit, one of the two writes fails its checks.
            attempts.has_lost_answer = True
        except StoreUnavailableError:
            if not attempts.has_lost_answer:
                raise
        except StoreConflictError:
            # Another publish was stored; the next attempt finds out whether
            # it conflicts with this one.
            await asyncio.sleep(_RETRY_DELAY_S * delays.random())
            continue
        await asyncio.sleep(_RETRY_DELAY_S)


async def _attempt_publish(
    request: _PublishRequest,
    attempts: _Attempts,
    table: TableService,
    objects: ObjectStore,
) -> PublishedChange:
    # The generation row is read first. The transaction checks its version, so
    # all that is read after it is still current if the transaction succeeds.
    current = await rows.read_generation_row(table)
    stored_generation = await rows.read_publication(
        table, request.publication_id
    )
    if stored_generation is not None:
        # If an attempt of this call stored it, the contents are known too and
        # can be sent to the VMs, which need not wait for their readers.
        return attempts.sent_by_generation.get(
            stored_generation, _generation_only(request, stored_generation)
        )
    await _check_base(request, attempts, table)
    entries = await rows.read_manifest(table)
    generation = current.row.generation + 1
    changes = _changed_entries(request, entries, generation)
    bodies = {
        part: body
        for part, body in request.bodies_by_part.items()
        if part in changes and body is not None
    }
    await _store_bodies(bodies, attempts, objects)
    row = rows.GenerationRow(
        generation=generation,
        digest=manifest_digest({**entries, **changes}),
        publication_id=request.publication_id,
        publisher=request.publisher,
        bodies_by_part=_inline_bodies(bodies),
    )
    change = attrs.evolve(
        _generation_only(request, generation),
        digest=row.digest,
        changes=changes,
        bodies_by_part=bodies,
    )
    attempts.sent_by_generation[generation] = change
    await table.transact(
        checks=_row_checks(request, attempts, current.version),
        writes=[
            *_row_writes(request, row, changes),
            *await rows.history_deletions(table, generation),
        ],
    )
    return change


async def _store_bodies(
    bodies: Mapping[str, bytes], attempts: _Attempts, objects: ObjectStore
) -> None:
    """Store the bodies that no earlier attempt has stored."""
    limit = asyncio.Semaphore(_MAX_PARALLEL_PUTS)

    async def put(body: bytes) -> None:
        digest = body_digest(body)
        async with limit:
            await objects.put(name=rows.object_name(digest), body=body)
        attempts.stored_digests.add(digest)

    await asyncio.gather(
        *(
            put(body)
            for body in bodies.values()
            if body_digest(body) not in attempts.stored_digests
        )
    )


async def _check_base(
    request: _PublishRequest, attempts: _Attempts, table: TableService
) -> None:
    for key in request.checked_row_keys():
        found = await table.read(table=rows.CONFIG_TABLE, key=key)
        version = found.version if found else 0
        if attempts.base.setdefault(key, version) == version:
            continue
        if found is None:
            raise PublishConflictError(part=key, publisher='unknown')
        other = rows.decode_part_row(found)
        if other.publication_id == request.publication_id:
            raise StoreConflictError('a write of an earlier attempt arrived')
        name = key.rpartition('/')[2]
        raise PublishConflictError(part=name, publisher=other.publisher)


def _changed_entries(
    request: _PublishRequest, entries: Mapping[str, PartEntry], generation: int
) -> dict[str, PartEntry]:
    """Return the new manifest entries of the parts that differ."""
    bodies = dict(request.bodies_by_part)
    if request.has_accounts:
        for part in entries:
            if part.startswith(ACCOUNTS_PREFIX):
                bodies.setdefault(part, None)
    changes = {}
    for part, body in bodies.items():
        digest = b'' if body is None else body_digest(body)
        before = entries.get(part, _ABSENT_ENTRY)
        if digest != before.digest:
            changes[part] = PartEntry(generation=generation, digest=digest)
    return changes


def _row_checks(
    request: _PublishRequest, attempts: _Attempts, version: int
) -> list[RowCheck]:
    versions_by_key = {
        rows.GENERATION_KEY: version,
        rows.publication_key(request.publication_id): 0,
        **{key: attempts.base[key] for key in request.checked_row_keys()},
    }
    return [
        RowCheck(table=rows.CONFIG_TABLE, key=key, version=expected)
        for key, expected in versions_by_key.items()
    ]


def _row_writes(
    request: _PublishRequest,
    row: rows.GenerationRow,
    changes: Mapping[str, PartEntry],
) -> list[RowWrite]:
    contents_by_key: dict[str, object] = {
        rows.GENERATION_KEY: row,
        rows.publication_key(request.publication_id): row.generation,
        rows.history_key(row.generation): rows.HistoryRow(
            publication_id=request.publication_id,
            publisher=request.publisher,
            digests_by_part={
                part: entry.digest for part, entry in changes.items()
            },
        ),
    }
    digests_by_part = {part: entry.digest for part, entry in changes.items()}
    if request.has_accounts:
        digests_by_part[rows.ACCOUNTS_KEY] = b''
    for part, digest in digests_by_part.items():
        contents_by_key[part] = rows.PartRow(
            generation=row.generation,
            digest=digest,
            publication_id=request.publication_id,
            publisher=request.publisher,
        )
    return [
        RowWrite(
            table=rows.CONFIG_TABLE, key=key, value=rows.encode_row(contents)
        )
        for key, contents in contents_by_key.items()
    ]


async def _read_version(table: TableService, key: str) -> int:
    found = await table.read(table=rows.CONFIG_TABLE, key=key)
    return found.version if found else 0


def _encode_parts(
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


def _inline_bodies(bodies: Mapping[str, bytes]) -> Mapping[str, bytes]:
    size = sum(len(body) for body in bodies.values())
    return bodies if size <= _MAX_INLINE_BYTES else {}


def _generation_only(
    request: _PublishRequest, generation: int
) -> PublishedChange:
    return PublishedChange(
        generation=generation,
        keys_generation=generation if request.has_accounts else 0,
    )


def _unknown_publication(request: _PublishRequest) -> Publication:
    return Publication(
        publication_id=request.publication_id,
        outcome=PublishOutcome.UNKNOWN,
        generation=None,
    )
