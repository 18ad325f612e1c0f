"""Names and payloads that leave a process are pinned.

A renamed field would be rejected by a VM of the build before, by stored
rows, by operators' files or by whoever reads logs and metrics.
"""

import json
import pathlib
import zlib
from collections.abc import Callable

import attrs
import cbor2
import pytest
from outer_interface import interface, load_all_modules

from bronzewall import (
    config_codec,
    messages,
    once_rows,
    platform_wire,
    publication_rows,
    published_change,
    run_tokens,
    slot_rows,
)
from bronzewall.edge import zone_packing
from bronzewall.platform import decoding
from bronzewall.types import Row

_DATA = pathlib.Path(__file__).parent / 'data'
_INTERFACE = json.loads((_DATA / 'outer_interface.json').read_text())
_PAYLOADS = json.loads((_DATA / 'outer_payloads.json').read_text())
_NAMES = (_DATA / 'outer_names.txt').read_text().split()


def _row(raw: bytes) -> Row:
    return Row(value=raw, version=1)


def _rewritten_row(kind: type) -> Callable[[bytes], bytes]:
    return lambda raw: publication_rows.encode_row(
        publication_rows._decode(_row(raw), kind)
    )


def _rewritten_accounts(raw: bytes) -> bytes:
    accounts = config_codec.decode_accounts(raw)
    return next(iter(config_codec.encode_accounts(accounts).values()))


def _rewritten_packed(
    unpack: Callable[[bytes], object], pack: Callable[..., bytes]
) -> Callable[[bytes], bytes]:
    return lambda raw: zlib.decompress(pack(unpack(zlib.compress(raw))))


def _rewritten_transaction(raw: bytes) -> bytes:
    return platform_wire.transaction_to_wire(
        *platform_wire.transaction_from_wire(raw)
    )


def _rewritten_vm_record(raw: bytes) -> bytes:
    record = platform_wire.vm_record_from_wire(cbor2.loads(raw))
    return cbor2.dumps(platform_wire.vm_record_to_wire(record))


_REWRITTEN: dict[str, Callable[[bytes], bytes]] = {
    'generation row': _rewritten_row(publication_rows.GenerationRow),
    'part row': _rewritten_row(publication_rows.PartRow),
    'history row': _rewritten_row(publication_rows.HistoryRow),
    'key row': lambda raw: once_rows.encode_entry(
        once_rows.decode_entry(_row(raw))
    ),
    'slot row': lambda raw: slot_rows.encode_row(
        slot_rows.decode_row(_row(raw))
    ),
    'published change': lambda raw: published_change.encode_change(
        published_change.decode_change(raw)
    ),
    'service': lambda raw: config_codec.encode_service(
        config_codec.decode_service(raw)
    ),
    'accounts': _rewritten_accounts,
    'packed instances': _rewritten_packed(
        zone_packing.unpack_instances, zone_packing.pack_instances
    ),
    'packed VMs': _rewritten_packed(
        zone_packing.unpack_vms, zone_packing.pack_vms
    ),
    'VM entry': lambda raw: decoding.encode_vm(
        decoding.decode_vm('vm_id text', raw)
    ),
    'transaction': _rewritten_transaction,
    'VM record': _rewritten_vm_record,
}


@pytest.mark.parametrize('group', sorted(_INTERFACE))
def test_outer_names_are_as_committed(group: str) -> None:
    """Guards against a rename that reaches messages, rows or settings."""
    assert interface()[group] == _INTERFACE[group]


def test_no_group_of_names_is_left_out() -> None:
    """Guards against names that the committed list does not have."""
    assert sorted(interface()) == sorted(_INTERFACE)


@pytest.mark.parametrize('kind', sorted(_PAYLOADS['messages']))
def test_recorded_message_is_read_and_written_alike(kind: str) -> None:
    """Guards against a message that the build before cannot exchange."""
    load_all_modules()
    payload = bytes.fromhex(_PAYLOADS['messages'][kind])
    envelope = messages.decode(payload)
    assert cbor2.loads(payload)['t'] == kind
    assert messages.encode(envelope) == payload


def test_every_message_has_a_recorded_payload() -> None:
    """Guards against message types without a recording."""
    assert sorted(_PAYLOADS['messages']) == sorted(_INTERFACE['messages'])


@pytest.mark.parametrize('label', sorted(_REWRITTEN))
def test_recorded_row_is_read_and_written_alike(label: str) -> None:
    """Guards against a row that the build before cannot exchange."""
    raw = bytes.fromhex(_PAYLOADS['stored'][label])
    assert _REWRITTEN[label](raw) == raw


def test_recorded_run_id_is_read_and_written_alike() -> None:
    """Guards against run ids that callers got from the build before."""
    text = _PAYLOADS['stored']['run id']
    token = run_tokens.parse_token(text)
    assert list(attrs.asdict(token).values()) == [
        'vm-1',
        11,
        1.5,
        'one',
        b'n',
    ]
    assert run_tokens.format_token(token, secret=b'secret') == text
    assert run_tokens.is_authentic(text, secret=b'secret')


def test_every_recorded_row_is_checked() -> None:
    """Guards against a recording that no test reads."""
    assert sorted(_PAYLOADS['stored']) == sorted((*_REWRITTEN, 'run id'))


def test_list_of_outer_names_holds_the_interface() -> None:
    """Guards against a list that says less than the code.

    Readers who reword the code go by the list.
    """
    found = interface()
    names = {
        name.partition('=')[0].rpartition('.')[2]
        for group in (
            *found['messages'].values(),
            *found['stored'].values(),
            *found['shown as JSON'].values(),
        )
        for name in group
    }
    names.update(found['messages'], found['settings'], found['edge settings'])
    names.update(found['refusals'], found['caller headers'], found['platform'])
    names.update(word for line in found['log lines'] for word in line.split())
    names.update(found['counted events'], found['counted retries'])
    assert names - {'**'} <= set(_NAMES)
