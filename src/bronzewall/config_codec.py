"""Encodes the parts of a configuration and computes their digests."""

import functools
import hashlib
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, get_origin

import attrs
import cbor2
from cattrs.preconf.cbor2 import make_converter

from bronzewall.config_model import Account, Service
from bronzewall.errors import SnapshotError
from bronzewall.types import AccountId, Placement, ServiceName

# A part is a section of the configuration: one service, or some of the
# accounts. The accounts are spread over many parts, so that a withdrawn key
# changes a few kilobytes and not the whole accounts file.
SERVICE_PREFIX = 'service/'
ACCOUNTS_PREFIX = 'accounts/'
# With 640,000 accounts a part holds 156 of them and takes about 14 KB.
ACCOUNT_PARTS = 4096
_HASH_BYTES = 8
_SHARED_CACHE_SIZE = 1024
_DIGEST_BYTES = 32
_DIGEST_RANGE = 2 ** (8 * _DIGEST_BYTES)
EMPTY_MANIFEST_DIGEST = bytes(_DIGEST_BYTES)


def _is_frozenset(kind: Any) -> bool:
    return bool(get_origin(kind) is frozenset)


_converter = make_converter(forbid_extra_keys=True)
# The iteration order of a set differs between processes; sorting makes the
# encoded body, and so its digest, the same everywhere.
_converter.register_unstructure_hook_func(_is_frozenset, sorted)


@functools.lru_cache(maxsize=_SHARED_CACHE_SIZE)
def _shared_placement(region: str, zone: str) -> Placement:
    return Placement(region=region, zone=zone)


@functools.lru_cache(maxsize=_SHARED_CACHE_SIZE)
def _shared_methods(methods: tuple[str, ...]) -> frozenset[str]:
    return frozenset(methods)


def _structure_placement(wire: dict[str, str], _kind: Any) -> Placement:
    return _shared_placement(**wire)


def _structure_methods(wire: list[str], _kind: Any) -> frozenset[str]:
    return _shared_methods(tuple(wire))


# Many instances and routes use the same few placements and sets of methods,
# so equal ones share one object.
_converter.register_structure_hook(Placement, _structure_placement)
_converter.register_structure_hook_func(_is_frozenset, _structure_methods)


@attrs.frozen(kw_only=True)
class PartEntry:
    """Manifest entry of one part.

    :param generation: the generation that last changed the part.
    :param digest: SHA-256 of the body; empty if the part was removed.
    """

    generation: int
    digest: bytes


def service_part(name: ServiceName) -> str:
    """Return the name of the part that holds a service."""
    return f'{SERVICE_PREFIX}{name}'


def account_part(account_id: AccountId) -> str:
    """Return the name of the part that holds an account."""
    hashed = hashlib.blake2b(account_id.encode(), digest_size=_HASH_BYTES)
    number = int.from_bytes(hashed.digest(), 'big') % ACCOUNT_PARTS
    return f'{ACCOUNTS_PREFIX}{number:03x}'


def encode_service(service: Service) -> bytes:
    """Return the body of a service's part."""
    return cbor2.dumps(_converter.unstructure(service), canonical=True)


def decode_service(body: bytes) -> Service:
    """Return the service that a body encodes.

    :raises SnapshotError: the body is not a service.
    """
    try:
        return _converter.structure(cbor2.loads(body), Service)
    except Exception as exc:
        raise SnapshotError(f'part body is not a service: {exc}') from exc


def encode_accounts(accounts: Iterable[Account]) -> dict[str, bytes]:
    """Return the bodies of the parts that hold accounts, by part name."""
    wires_by_part: dict[str, list[object]] = {}
    for account in sorted(accounts, key=lambda item: item.account_id):
        wires_by_part.setdefault(account_part(account.account_id), []).append(
            [
                account.account_id,
                account.rate,
                account.burst,
                sorted(account.key_digests),
            ]
        )
    return {part: cbor2.dumps(wires) for part, wires in wires_by_part.items()}


def decode_accounts(body: bytes) -> Sequence[Account]:
    """Return the accounts of one part.

    :raises SnapshotError: the body is not a list of accounts.
    """
    try:
        return tuple(_account_from_wire(wire) for wire in cbor2.loads(body))
    except Exception as exc:
        raise SnapshotError(
            f'part body is not a list of accounts: {exc}'
        ) from exc


def decode_account(body: bytes, account_id: AccountId) -> Account | None:
    """Return one account of a part, or ``None`` if the part lacks it.

    :raises SnapshotError: the body is not a list of accounts.
    """
    try:
        for wire in cbor2.loads(body):
            if wire[0] == account_id:
                return _account_from_wire(wire)
    except Exception as exc:
        raise SnapshotError(
            f'part body is not a list of accounts: {exc}'
        ) from exc
    return None


def body_digest(body: bytes) -> bytes:
    """Return the digest of a part's body."""
    return hashlib.sha256(body).digest()


def manifest_digest(entries_by_part: Mapping[str, PartEntry]) -> bytes:
    """Return one digest over all parts of a configuration."""
    return update_manifest_digest(
        EMPTY_MANIFEST_DIGEST, removed={}, added=entries_by_part
    )


def update_manifest_digest(
    digest: bytes,
    *,
    removed: Mapping[str, PartEntry],
    added: Mapping[str, PartEntry],
) -> bytes:
    """Return the manifest digest after a change.

    The manifest digest is the sum of the SHA-256 digests of all entries,
    modulo 2^256, so the cost of an update does not depend on the number of
    parts. It protects against mistakes and damage; bodies are protected by
    their own digests.

    :param removed: entries as they were.
    :param added: the same entries as they are now, and new ones.
    """
    total = int.from_bytes(digest, 'big')
    total += sum(_entry_digest_number(*item) for item in added.items())
    total -= sum(_entry_digest_number(*item) for item in removed.items())
    rest: int = total % _DIGEST_RANGE
    return rest.to_bytes(_DIGEST_BYTES, 'big')


def _entry_digest_number(part: str, entry: PartEntry) -> int:
    line = f'{part}\0{entry.generation}\0'.encode() + entry.digest
    return int.from_bytes(hashlib.sha256(line).digest(), 'big')


def _account_from_wire(wire: list[Any]) -> Account:
    # The converter takes five times as long as this code, and a VM reads
    # 640,000 accounts at start at the size expected after two years.
    account_id, rate, burst, digests = wire
    if not isinstance(account_id, str) or not isinstance(burst, int):
        raise SnapshotError(
            f'account {account_id!r} with burst {burst!r} has a wrong type'
        )
    if not all(isinstance(digest, bytes) for digest in digests):
        raise SnapshotError(
            f'key digests of account {account_id!r} are not all bytes'
        )
    return Account(
        account_id=AccountId(account_id),
        rate=float(rate),
        burst=burst,
        key_digests=tuple(digests),
    )
