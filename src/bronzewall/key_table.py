"""Maps the digests of API keys to client accounts in compact form."""

import bisect
import hashlib
import hmac
import sys
from array import array
from collections.abc import Iterable, Iterator

import attrs

from bronzewall.config_model import Account
from bronzewall.types import AccountId

DIGEST_BYTES = 32
# With 640,000 keys a segment holds about 625 of them, so a changed key copies
# about 30 KB and not the whole table.
_SEGMENTS = 1024
_PREFIX_BYTES = 2


def key_digest(key: str) -> bytes:
    """Return the digest under which a key is stored."""
    return hashlib.sha256(key.encode()).digest()


@attrs.frozen(kw_only=True)
class _Segment:
    """Sorted digests of one segment with their account ids.

    :param digests: the digests, concatenated.
    :param ends: end offset of each account id in ``ids``.
    :param ids: account ids in UTF-8, concatenated in the order of the
        digests.
    """

    digests: bytes = b''
    ends: 'array[int]' = attrs.field(factory=lambda: array('I'))
    ids: bytes = b''

    def __len__(self) -> int:
        """Return the number of digests."""
        return len(self.ends)

    def position(self, digest: bytes) -> int:
        """Return the position of the first digest that is not smaller."""
        return bisect.bisect_left(range(len(self)), digest, key=self.digest_at)

    def digest_at(self, position: int) -> bytes:
        """Return the digest at a position."""
        start = position * DIGEST_BYTES
        return self.digests[start : start + DIGEST_BYTES]

    def id_at(self, position: int) -> bytes:
        """Return the account id at a position."""
        start = self.ends[position - 1] if position else 0
        return self.ids[start : self.ends[position]]

    def entries(self) -> dict[bytes, bytes]:
        """Return the account ids by digest."""
        return {
            self.digest_at(position): self.id_at(position)
            for position in range(len(self))
        }


_EMPTY_SEGMENT = _Segment()


@attrs.define(kw_only=True)
class KeyTable:
    """Digests of all keys in force.

    An entry takes 36 bytes plus the length of the account id.
    """

    _segments: list[_Segment] = attrs.field(
        factory=lambda: [_EMPTY_SEGMENT for _ in range(_SEGMENTS)]
    )

    def __len__(self) -> int:
        """Return the number of keys."""
        return sum(len(segment) for segment in self._segments)

    def find(self, key: str) -> AccountId | None:
        """Return the account of a key, or ``None``.

        The search compares SHA-256 digests, so its timing reveals nothing
        about the key; the final comparison takes constant time.
        """
        digest = key_digest(key)
        segment = self._segments[_segment_number(digest)]
        position = segment.position(digest)
        if position == len(segment):
            return None
        if not hmac.compare_digest(segment.digest_at(position), digest):
            return None
        return AccountId(segment.id_at(position).decode())

    def update(
        self, *, removed: Iterable[Account], added: Iterable[Account]
    ) -> None:
        """Replace the keys of some accounts.

        :param removed: changed or removed accounts, before the change.
        :param added: changed or new accounts, after the change.
        """
        changes_by_segment: dict[int, dict[bytes, bytes | None]] = {}
        for digest, _ in _key_entries(removed):
            number = _segment_number(digest)
            changes_by_segment.setdefault(number, {})[digest] = None
        for digest, account_id in _key_entries(added):
            number = _segment_number(digest)
            changes_by_segment.setdefault(number, {})[digest] = account_id
        for number, changes in changes_by_segment.items():
            self._segments[number] = _updated_segment(
                self._segments[number], changes
            )

    def size_bytes(self) -> int:
        """Return the memory used by the segments, in bytes."""
        return sum(
            sys.getsizeof(segment.digests)
            + sys.getsizeof(segment.ends)
            + sys.getsizeof(segment.ids)
            + sys.getsizeof(segment)
            for segment in self._segments
        )


def build_key_table(accounts: Iterable[Account]) -> KeyTable:
    """Return a table with the keys of all given accounts."""
    table = KeyTable()
    table.update(removed=(), added=accounts)
    return table


def _segment_number(digest: bytes) -> int:
    return int.from_bytes(digest[:_PREFIX_BYTES], 'big') % _SEGMENTS


def _key_entries(accounts: Iterable[Account]) -> Iterator[tuple[bytes, bytes]]:
    for account in accounts:
        for digest in account.key_digests:
            yield digest, account.account_id.encode()


def _updated_segment(
    segment: _Segment, changes: dict[bytes, bytes | None]
) -> _Segment:
    entries: dict[bytes, bytes | None] = {**segment.entries(), **changes}
    kept = sorted(
        (digest, account_id)
        for digest, account_id in entries.items()
        if account_id is not None
    )
    ends, end = array('I'), 0
    for _, kept_id in kept:
        end += len(kept_id)
        ends.append(end)
    return _Segment(
        digests=b''.join(digest for digest, _ in kept),
        ends=ends,
        ids=b''.join(account_id for _, account_id in kept),
    )
