"""Tests that VMs of landed builds and of this one understand each other."""

import asyncio
from collections.abc import Callable

import cbor2
import pytest
from edge_builders import an_edge_account, an_edge_configuration
from edge_builds import is_readable, read_as
from edge_fleet import Fleet
from example_messages import examples, recorded
from test_messages import Ping

from bronzewall import messages
from bronzewall.edge.zone_packing import unpack_instances, unpack_vms
from bronzewall.platform import decoding
from bronzewall.standins.virtual_time import run_virtual

_BUILDS = recorded()
_CASES = [
    (commit, kind)
    for commit, build in _BUILDS.items()
    for kind in build['payloads']
]
# Fields that some landed builds do not know. A VM that needs it gets the
# message without them (older_builds.py).
_LEFT_OUT = {'edge-beacon': {'quota_share', 'quota_extra'}}
# Builds that do not know the messages by which old data is renewed.
_BEFORE_REFRESH = ('ba9a3f4', 'd30c8c6')


def test_landed_builds_are_recorded() -> None:
    assert {'ba9a3f4', 'd30c8c6', '6ac28c3', '1cc2605'} <= set(_BUILDS)


@pytest.mark.parametrize(('commit', 'kind'), _CASES)
def test_message_of_a_landed_build_is_read(commit: str, kind: str) -> None:
    # Guards against VMs of this build that do not hear those before an upgrade.
    examples()
    payload = bytes.fromhex(_BUILDS[commit]['payloads'][kind])
    envelope = messages.decode(payload)
    assert not envelope.unread_fields
    assert (
        cbor2.loads(messages.encode(envelope))['b']
        == (cbor2.loads(payload)['b'])
    )


@pytest.mark.parametrize('commit', _BUILDS)
def test_rows_and_lists_of_a_landed_build_are_read(commit: str) -> None:
    # Guards against VMs that know nobody, or no instance, after an upgrade.
    build = _BUILDS[commit]
    entry = decoding.decode_vm('text:1', bytes.fromhex(build['vm_row']))
    assert entry.started_ms == 7
    instances = unpack_instances(bytes.fromhex(build['lists']['instances']))
    assert [item.is_leaving for item in instances] == [True]
    assert unpack_vms(bytes.fromhex(build['lists']['vms'])) == (entry,)


@pytest.mark.parametrize(('commit', 'kind'), _CASES)
def test_landed_build_reads_what_this_one_writes(
    commit: str, kind: str
) -> None:
    # Guards against a new field that cuts VMs of a landed build off: they
    # reject the whole message. A new kind of message does not.
    present = set(examples()['fields'][kind])
    unknown = present - set(_BUILDS[commit]['fields'][kind])
    allowed = _LEFT_OUT.get(kind, set())
    assert unknown <= allowed, f'{commit} would be cut off'


@pytest.mark.parametrize('commit', _BUILDS)
def test_landed_build_reads_lists_of_this_one(commit: str) -> None:
    # Guards against a list with one more value, which these builds reject.
    assert examples()['lists'] == _BUILDS[commit]['lists']
    assert examples()['vm_row'] == _BUILDS[commit]['vm_row']


def test_emulated_build_rejects_what_it_does_not_know() -> None:
    body = bytes.fromhex(_BUILDS['1cc2605']['payloads']['edge-beacon'])
    assert is_readable(body, '1cc2605')
    assert not is_readable(body, 'ba9a3f4')
    ping = messages.encode(
        messages.Envelope(
            sender='a', incarnation=1, sequence=1, body=Ping(number=1)
        )
    )
    assert not is_readable(ping, '1cc2605')


_MIXES: dict[str, Callable[[int], bool]] = {
    'leader new': lambda number: number > 0,
    'leader old': lambda number: number == 0,
    'half': lambda number: number % 2 == 1,
}


@pytest.mark.parametrize('commit', _BUILDS)
@pytest.mark.parametrize('mix', _MIXES)
@pytest.mark.parametrize('size', [7, 17])
def test_zone_of_two_builds_has_one_leader(
    size: int, mix: str, commit: str
) -> None:
    # Guards against VMs that each read the store and use their zone's rate
    # because they cannot read the status of a leader of another build.
    async def main() -> None:
        names = [f'vm-{number:02}' for number in range(size)]
        fleet = Fleet(*names)
        for number, name in enumerate(names):
            if _MIXES[mix](number):
                read_as(fleet.vms[name], commit)
        account = an_edge_account(rate=20, burst=10)
        fleet.shared.publish(an_edge_configuration(2, accounts=(account,)))
        await fleet.start()
        await asyncio.sleep(6)
        calls = sum(vm.store.calls for vm in fleet.vms.values())
        for number in range(3, 13):
            fleet.shared.publish(
                an_edge_configuration(number, accounts=(account,))
            )
            await asyncio.sleep(1)
            assert fleet.leaders() == [names[0]]
            for vm in fleet.vms.values():
                assert vm.directory.version == number
                assert vm.state.admission.uses_zone_pool(now=vm.clock.now())
        calls = sum(vm.store.calls for vm in fleet.vms.values()) - calls
        assert calls < 40
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize('commit', _BEFORE_REFRESH)
def test_older_status_is_sent_again_after_a_time(commit: str) -> None:
    # Guards against a fleet that keeps the older form after an upgrade; while
    # one VM needs it, that VM is on its own for a moment in 30 s.
    async def main() -> None:
        names = ['a', 'b', 'c']
        fleet = Fleet(*names)
        read_as(fleet.vms['c'], commit)
        await fleet.start()
        await asyncio.sleep(6)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + 90
        alone = 0
        while loop.time() < ends_at:
            await asyncio.sleep(0.1)
            alone += fleet.leaders() != ['a']
        assert 0 < alone < 90
        await fleet.stop()

    run_virtual(main())
