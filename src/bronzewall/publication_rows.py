"""Rows of the table service that hold the published configuration."""

from collections.abc import Mapping
from typing import TypeVar

import attrs
import cbor2
from cattrs.preconf.cbor2 import make_converter

from bronzewall.config_codec import (
    ACCOUNTS_PREFIX,
    SERVICE_PREFIX,
    PartEntry,
)
from bronzewall.errors import SnapshotError
from bronzewall.ports import TableService
from bronzewall.types import Row, RowWrite

CONFIG_TABLE = 'config'
GENERATION_KEY = 'generation'
ACCOUNTS_KEY = 'accounts'
# At 12,000 changes a day this keeps history and publication ids for four
# days. No reader lags for longer, and no operator repeats a publish later.
_KEPT_HISTORY_GENERATIONS = 48_000
# Unknown fields of a newer version are ignored, so that VMs of two versions
# can read the same rows.
_converter = make_converter()
_RowT = TypeVar('_RowT')


@attrs.frozen(kw_only=True)
class GenerationRow:
    """Contents of the generation row.

    :param digest: digest of the manifest of this generation.
    :param bodies_by_part: bodies changed by this generation, if they are
        small; a reader then needs no read of the object store.
    """

    generation: int = 0
    digest: bytes = b''
    publication_id: str = ''
    publisher: str = ''
    bodies_by_part: Mapping[str, bytes] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class PartRow:
    """Contents of the row of one part, or of the row of all accounts.

    :param generation: the generation that wrote the row.
    :param digest: digest of the body; empty if the part was removed, and
        in the row of all accounts.
    """

    generation: int
    digest: bytes
    publication_id: str
    publisher: str


@attrs.frozen(kw_only=True)
class HistoryRow:
    """Contents of a history row: the parts that one generation changed.

    :param digests_by_part: new digests; empty for a removed part.
    """

    publication_id: str
    publisher: str
    digests_by_part: Mapping[str, bytes]


@attrs.frozen(kw_only=True)
class VersionedGeneration:
    """Generation row with its version in the table."""

    row: GenerationRow
    version: int


def publication_key(publication_id: str) -> str:
    """Return the key of the row that records a publication."""
    return f'publication/{publication_id}'


def history_key(generation: int) -> str:
    """Return the key of a generation's history row."""
    return f'history/{generation}'


def encode_row(contents: object) -> bytes:
    """Return the stored form of a row."""
    return cbor2.dumps(_converter.unstructure(contents))


def decode_part_row(row: Row) -> PartRow:
    """Return the contents of a part's row.

    :raises SnapshotError: the row cannot be decoded.
    """
    return _decode(row, PartRow)


async def read_generation_row(table: TableService) -> VersionedGeneration:
    """Return the generation row; generation 0 if there is none.

    :raises StoreUnavailableError: the service did not answer.
    """
    row = await table.read(table=CONFIG_TABLE, key=GENERATION_KEY)
    if row is None:
        return VersionedGeneration(row=GenerationRow(), version=0)
    return VersionedGeneration(
        row=_decode(row, GenerationRow),
        version=row.version,
    )


async def read_publication(
    table: TableService, publication_id: str
) -> int | None:
    """Return the generation of a publication, or ``None``.

    :raises StoreUnavailableError: the service did not answer.
    """
    row = await table.read(
        table=CONFIG_TABLE, key=publication_key(publication_id)
    )
    return None if row is None else _decode(row, int)


async def read_history(
    table: TableService, generation: int
) -> HistoryRow | None:
    """Return what a generation changed; ``None`` if its row was deleted.

    :raises StoreUnavailableError: the service did not answer.
    """
    row = await table.read(table=CONFIG_TABLE, key=history_key(generation))
    return None if row is None else _decode(row, HistoryRow)


async def read_manifest(table: TableService) -> dict[str, PartEntry]:
    """Return the entries of all parts.

    The scans are not one transaction, so a caller must compare the digest of
    the result with the digest in the generation row.

    :raises StoreUnavailableError: the service did not answer.
    """
    entries: dict[str, PartEntry] = {}
    for prefix in (SERVICE_PREFIX, ACCOUNTS_PREFIX):
        rows = await table.scan(table=CONFIG_TABLE, prefix=prefix)
        for part, row in rows.items():
            found = decode_part_row(row)
            entries[part] = PartEntry(
                generation=found.generation, digest=found.digest
            )
    return entries


async def history_deletions(
    table: TableService, generation: int
) -> list[RowWrite]:
    """Return the writes that delete a history row that is too old.

    The row that records its publication id is deleted with it.

    :raises StoreUnavailableError: the service did not answer.
    """
    old = generation - _KEPT_HISTORY_GENERATIONS
    history = await read_history(table, old) if old > 0 else None
    if history is None:
        return []
    keys = (
        history_key(old),
        publication_key(history.publication_id),
    )
    return [RowWrite(table=CONFIG_TABLE, key=key, value=None) for key in keys]


def object_name(digest: bytes) -> str:
    """Return the name of the object that holds a part's body."""
    return f'config/{digest.hex()}'


def _decode(row: Row, contents_class: type[_RowT]) -> _RowT:
    try:
        return _converter.structure(cbor2.loads(row.value), contents_class)
    except Exception as exc:
        raise SnapshotError(f'row cannot be decoded: {exc}') from exc
