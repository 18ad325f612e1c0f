"""Publishes a configuration through the table service."""

import attrs
import cbor2

from bronzewall.config_codec import encode_snapshot
from bronzewall.config_model import Configuration
from bronzewall.ports import ObjectStore, TableService
from bronzewall.types import RowCheck, RowWrite

CONFIG_TABLE = 'config'
GENERATION_KEY = 'generation'


@attrs.frozen(kw_only=True)
class GenerationRow:
    """Contents of the generation row."""

    generation: int = 0
    object_name: str = ''
    publication_id: str = ''
    version: int = 0


async def read_generation(table: TableService) -> GenerationRow:
    """Return the generation row; generation 0 if there is none.

    :raises StoreUnavailableError: the service did not answer.
    """
    row = await table.read(table=CONFIG_TABLE, key=GENERATION_KEY)
    if row is None:
        return GenerationRow()
    fields = cbor2.loads(row.value)
    return GenerationRow(**fields, version=row.version)


async def publish(
    *,
    configuration: Configuration,
    publication_id: str,
    table: TableService,
    objects: ObjectStore,
) -> int:
    """Store a configuration as the next generation and return that.

    :raises StoreConflictError: another operator published first.
    :raises StoreUnavailableError: nothing was published.
    :raises StoreAnswerLostError: the publication may have taken effect.
    """
    row = await read_generation(table)
    stored = attrs.evolve(configuration, generation=row.generation + 1)
    object_name = f'config/{stored.generation}-{publication_id}'
    await objects.put(name=object_name, body=encode_snapshot(stored))
    fields = {
        'generation': stored.generation,
        'object_name': object_name,
        'publication_id': publication_id,
    }
    await table.transact(
        checks=[
            RowCheck(
                table=CONFIG_TABLE, key=GENERATION_KEY, version=row.version
            )
        ],
        writes=[
            RowWrite(
                table=CONFIG_TABLE,
                key=GENERATION_KEY,
                value=cbor2.dumps(fields),
            )
        ],
    )
    return stored.generation
