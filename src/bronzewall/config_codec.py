"""Parts of a configuration and their encoded form.

Each service is one part. The accounts are spread over many parts, so that
a withdrawn key changes a few kilobytes and not the whole accounts file.
"""

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, get_origin

import attrs
import cbor2
from cattrs.preconf.cbor2 import make_converter

from bronzewall.config_model import Account, Service
from bronzewall.errors import SnapshotError
from bronzewall.types import AccountId, ServiceName

SERVICE_PREFIX = 'service/'
ACCOUNTS_PREFIX = 'accounts/'
# 640,000 accounts give 156 accounts and about 14 KB for each part.
ACCOUNT_PARTS = 4096
_HASH_BYTES = 8
_DIGEST_BYTES = 32
_DIGEST_RANGE = 2 ** (8 * _DIGEST_BYTES)
NO_PARTS_DIGEST = bytes(_DIGEST_BYTES)


def _is_frozenset(kind: Any) -> bool:
    return bool(get_origin(kind) is frozenset)


_converter = make_converter(forbid_extra_keys=True)
# The order of a set differs between processes; a digest must not.
_converter.register_unstructure_hook_func(_is_frozenset, sorted)


@attrs.frozen(kw_only=True)
class PartEntry:
    """One part in a manifest.

    :param generation: the generation that changed it last.
    :param digest: SHA-256 of the body; empty if the part was removed.
    """

    generation: int
    digest: bytes


def service_part(name: ServiceName) -> str:
    """Return the part of a service."""
    return f'{SERVICE_PREFIX}{name}'


def account_part(account_id: AccountId) -> str:
    """Return the part that holds an account."""
    hashed = hashlib.blake2b(account_id.encode(), digest_size=_HASH_BYTES)
    number = int.from_bytes(hashed.digest(), 'big') % ACCOUNT_PARTS
    return f'{ACCOUNTS_PREFIX}{number:03x}'


def encode_service(service: Service) -> bytes:
    """Return the body of a service's part."""
    return cbor2.dumps(_converter.unstructure(service), canonical=True)


def decode_service(body: bytes) -> Service:
    """Return the service of a part.

    :raises SnapshotError: the body is not a service.
    """
    try:
        return _converter.structure(cbor2.loads(body), Service)
    except Exception as exc:
        raise SnapshotError(f'not a service: {exc}') from exc


def encode_accounts(accounts: Iterable[Account]) -> dict[str, bytes]:
    """Return the bodies of the accounts' parts by part name."""
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
        return tuple(_account(wire) for wire in cbor2.loads(body))
    except Exception as exc:
        raise SnapshotError(f'not accounts: {exc}') from exc


def body_digest(body: bytes) -> bytes:
    """Return the digest of a part's body."""
    return hashlib.sha256(body).digest()


def manifest_digest(entries_by_part: Mapping[str, PartEntry]) -> bytes:
    """Return one digest over all parts of a configuration."""
    return changed_digest(NO_PARTS_DIGEST, removed={}, added=entries_by_part)


def changed_digest(
    digest: bytes,
    *,
    removed: Mapping[str, PartEntry],
    added: Mapping[str, PartEntry],
) -> bytes:
    """Return the manifest digest after a change.

    The digest is the sum of the entries' SHA-256 digests, so that the cost
    does not depend on the number of parts. It protects against mistakes
    and damage; bodies are protected by their own digests.

    :param removed: entries as they were.
    :param added: the same entries as they are now, and new ones.
    """
    total = int.from_bytes(digest, 'big')
    total += sum(_entry_number(*item) for item in added.items())
    total -= sum(_entry_number(*item) for item in removed.items())
    rest: int = total % _DIGEST_RANGE
    return rest.to_bytes(_DIGEST_BYTES, 'big')


def _entry_number(part: str, entry: PartEntry) -> int:
    line = f'{part}\0{entry.generation}\0'.encode() + entry.digest
    return int.from_bytes(hashlib.sha256(line).digest(), 'big')


def _account(wire: list[Any]) -> Account:
    account_id, rate, burst, digests = wire
    return Account(
        account_id=AccountId(account_id),
        rate=float(rate),
        burst=int(burst),
        key_digests=tuple(bytes(digest) for digest in digests),
    )
