"""Maps a caller's key to its client account."""

import hashlib
from collections.abc import Iterable

import attrs

from bronzewall.config_model import Account
from bronzewall.types import AccountId


def key_digest(key: str) -> bytes:
    """Return the digest under which a key is stored."""
    return hashlib.sha256(key.encode()).digest()


@attrs.define(kw_only=True)
class KeyTable:
    """Digests of all keys in force."""

    accounts_by_digest: dict[bytes, AccountId] = attrs.field(factory=dict)

    def find(self, key: str) -> AccountId | None:
        """Return the account of a key, or ``None``.

        The look-up compares SHA-256 digests, so its timing says nothing
        about the key itself.
        """
        return self.accounts_by_digest.get(key_digest(key))


def build_key_table(accounts: Iterable[Account]) -> KeyTable:
    """Return the table of all keys of the accounts."""
    table = KeyTable()
    for account in accounts:
        for digest in account.key_digests:
            table.accounts_by_digest[digest] = account.account_id
    return table
