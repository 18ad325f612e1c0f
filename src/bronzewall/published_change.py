"""The change of a publish, as operators' tools send it to VMs."""

from collections.abc import Mapping

import attrs
import cbor2
from cattrs.preconf.cbor2 import make_converter

from bronzewall.config_codec import PartEntry
from bronzewall.errors import SnapshotError

_converter = make_converter(forbid_extra_keys=True)


@attrs.frozen(kw_only=True)
class PublishedChange:
    """A stored generation and what it changed.

    :param digest: manifest digest of the generation; empty if unknown.
    :param keys_generation: the generation if it may have changed keys,
        else 0.
    """

    generation: int
    keys_generation: int
    digest: bytes = b''
    changes: Mapping[str, PartEntry] = attrs.field(factory=dict)
    bodies_by_part: Mapping[str, bytes] = attrs.field(factory=dict)


def encode_change(change: PublishedChange) -> bytes:
    """Return the wire form of a change."""
    return cbor2.dumps(_converter.unstructure(change))


def decode_change(wire: bytes) -> PublishedChange:
    """Return the change that a wire form encodes.

    :raises SnapshotError: the wire form cannot be decoded.
    """
    try:
        return _converter.structure(cbor2.loads(wire), PublishedChange)
    except Exception as exc:
        raise SnapshotError(f'not a published change: {exc}') from exc
