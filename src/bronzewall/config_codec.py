"""Configuration to and from CBOR snapshots."""

import hashlib

import cbor2
from cattrs.preconf.cbor2 import make_converter

from bronzewall.config_model import Configuration
from bronzewall.errors import SnapshotError

_DIGEST_BYTES = 32
_converter = make_converter(forbid_extra_keys=True)


def encode_snapshot(configuration: Configuration) -> bytes:
    """Return a snapshot: a SHA-256 digest and the CBOR body."""
    body = cbor2.dumps(_converter.unstructure(configuration))
    return hashlib.sha256(body).digest() + body


def decode_snapshot(snapshot: bytes) -> Configuration:
    """Return the configuration of a snapshot.

    :raises SnapshotError: it is truncated, damaged or of another form.
    """
    digest, body = snapshot[:_DIGEST_BYTES], snapshot[_DIGEST_BYTES:]
    if hashlib.sha256(body).digest() != digest:
        raise SnapshotError('digest does not match; snapshot is damaged')
    try:
        return _converter.structure(cbor2.loads(body), Configuration)
    except Exception as exc:
        raise SnapshotError(f'unknown form: {exc}') from exc
