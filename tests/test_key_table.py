"""Tests of the key table, compared with a plain dictionary."""

from builders import an_account
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.config_model import Account
from bronzewall.key_table import KeyTable, build_key_table, key_digest

_MAX_BYTES_PER_KEY = 60
_KEYS = 50_000
_names = st.sampled_from([f'account-{number}' for number in range(5)])
_keys = st.frozensets(st.sampled_from([f'key-{no}' for no in range(12)]))


def _account(name: str, keys: frozenset[str]) -> Account:
    digests = tuple(key_digest(key) for key in keys)
    return an_account(name, key_digests=digests)


@given(st.lists(st.tuples(_names, _keys), max_size=20))
def test_updates_match_a_dictionary(
    changes: list[tuple[str, frozenset[str]]],
) -> None:
    """Guards against a key that is found after removal, or is lost."""
    table, keys_by_name = KeyTable(), {}
    for name, requested in changes:
        used_elsewhere = frozenset().union(
            *(keys for other, keys in keys_by_name.items() if other != name)
        )
        before = keys_by_name.get(name, frozenset())
        keys_by_name[name] = requested - used_elsewhere
        table.update(
            removed=[_account(name, before)],
            added=[_account(name, keys_by_name[name])],
        )
    expected = {
        key: name for name, keys in keys_by_name.items() for key in keys
    }
    for number in range(12):
        key = f'key-{number}'
        assert table.find(key) == expected.get(key)
    assert len(table) == len(expected)


def test_key_moved_between_accounts_stays_valid() -> None:
    """Guards against a removal applied after the addition of the same key."""
    table = build_key_table([_account('a', frozenset({'k'}))])
    table.update(
        removed=[_account('a', frozenset({'k'})), _account('b', frozenset())],
        added=[_account('a', frozenset()), _account('b', frozenset({'k'}))],
    )
    assert table.find('k') == 'b'


def test_memory_of_a_key() -> None:
    """Guards against a table too large for a VM at the size of two years."""
    table = build_key_table(
        _account(f'account-{number:06}', frozenset({f'key-{number}'}))
        for number in range(_KEYS)
    )
    assert table.size_bytes() / _KEYS < _MAX_BYTES_PER_KEY
    assert table.find('key-777') == 'account-000777'
