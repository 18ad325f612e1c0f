"""Suspects, turns and quarantine of requests that crash instances."""

import asyncio

import pytest
from builders import ACCOUNT_KEY, a_fleet, a_route, an_instance

from bronzewall.crash_messages import (
    CrashReport,
    TurnAsk,
    TurnDone,
    TurnEnd,
    TurnVerdict,
)
from bronzewall.crash_suspects import RETENTION_S, SuspectTable
from bronzewall.errors import UpstreamTimeoutError
from bronzewall.problems import RefusalError
from bronzewall.rendezvous import rank_vms
from bronzewall.standins.memory_fleet import (
    MemoryAnswer,
    MemoryFleet,
    caller_request,
)
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import InstanceId, VmId

VMS = 4
FINGERPRINT = b'f'


def _fleet(retries: int = 2) -> MemoryFleet:
    return a_fleet(
        [a_route(retries=retries)],
        vms=VMS,
        crashes=lambda target: 'poison' in target,
    )


async def _get(fleet: MemoryFleet, vm: int, name: str) -> MemoryAnswer:
    request = caller_request(
        method='GET',
        path=f'/drafts/{name}',
        headers=[('Authorization', f'Bearer {ACCOUNT_KEY}')],
    )
    return await fleet.send(VmId(f'vm-{vm}'), request)


def _report(number: int = 1, **changes: object) -> CrashReport:
    fields: dict[str, object] = {
        'reporter': 'vm-1',
        'incarnation': 1,
        'number': number,
        'instance_id': 'drafts-1',
        'fingerprints': (FINGERPRINT,),
        'age': float(0),
    }
    return CrashReport(**{**fields, **changes})


@pytest.mark.parametrize('fault', ['', 'cut', 'restart', 'kill'])
def test_crashing_request_runs_on_two_instances(fault: str) -> None:
    """Guards against a third crash through VMs that miss the reports.

    The VM that reported the first crash is cut off from another VM, a VM
    restarts without the reports, or the VM that reported is killed.
    """

    async def main() -> None:
        fleet = _fleet()
        for number in range(1, VMS):
            if fault == 'cut':
                fleet.network.block(sender=VmId('vm-0'), receiver=VmId('vm-3'))
            await _get(fleet, 0 if number == 1 else number, 'poison')
            if fault == 'restart':
                fleet.kill(VmId(f'vm-{number}'))
                fleet.start(VmId(f'vm-{number}'))
                await asyncio.sleep(1)
            if fault == 'kill':
                fleet.kill(VmId('vm-0'))
        answer = await _get(fleet, 3, 'poison')
        assert answer.status == 503
        assert b'crash_suspect' in answer.body
        assert len(fleet.upstreams.runs) == 2
        crashed = {crash.instance_id for crash in fleet.upstreams.crashes}
        guard = fleet.vms_by_id[VmId('vm-3')].guard
        assert all(guard.was_crashed_by_quarantined(name) for name in crashed)
        assert not guard.was_crashed_by_quarantined(InstanceId('drafts-x'))
        await asyncio.sleep(RETENTION_S + 10)
        assert not guard.was_crashed_by_quarantined(crashed.pop())

    run_virtual(main())


def test_retry_does_not_overtake_the_report() -> None:
    """Guards against a retry at a VM before the report arrives there."""

    async def main() -> None:
        fleet = _fleet(retries=0)
        # Two crashes and retries take less time than one message.
        fleet.network.delay = lambda _sender, _receiver: 0.048
        fleet.network.jitter = 0
        fleet.upstreams.run_time = 0.004
        for number in range(VMS):
            await _get(fleet, number, 'poison')
        assert len(fleet.upstreams.runs) == 2

    run_virtual(main())


def test_innocent_requests_are_answered_after_a_crash() -> None:
    """Guards against refusing every request that was in flight."""

    async def main() -> None:
        fleet = _fleet()
        fleet.upstreams.run_time = 0.5
        names = [f'innocent-{number}' for number in range(24)]
        sends = [
            asyncio.create_task(_get(fleet, number % VMS, name))
            for number, name in enumerate(names)
        ]
        sends.append(asyncio.create_task(_get(fleet, 0, 'poison')))
        answers = await asyncio.gather(*sends)
        assert {item.status for item in answers[:-1]} == {201}
        await asyncio.sleep(1)
        suspects = fleet.vms_by_id[VmId('vm-2')].guard.table
        left = suspects.suspects_by_fingerprint.values()
        assert [item.is_quarantined for item in left] == [True]

    run_virtual(main())


def test_delayed_release_does_not_end_the_next_turn() -> None:
    """Guards against two VMs that run a suspect at the same time."""

    async def main() -> None:
        fleet = _fleet()
        vm = fleet.vms_by_id[VmId('vm-0')]
        vm.guard.table.record(_report(incarnation=vm.incarnation))
        turns = vm.guard.turns

        def ask(attempt: str, **changes: object) -> TurnVerdict:
            fields: dict[str, object] = {
                'fingerprint': FINGERPRINT,
                'instance_id': '',
                'incarnation': vm.incarnation,
                'remaining': 1.0,
            }
            fields.update(changes)
            return turns.grant_turn(
                TurnAsk(attempt_id=attempt, **fields)
            ).verdict

        def end(attempt: str) -> None:
            turns.end_turn(
                TurnDone(
                    fingerprint=FINGERPRINT,
                    instance_id='',
                    attempt_id=attempt,
                    end=TurnEnd.UNDECIDED,
                )
            )

        assert ask('b/1') is TurnVerdict.GRANTED
        end('b/1')
        assert ask('b/2') is TurnVerdict.GRANTED
        end('b/1')
        assert ask('c/1') is TurnVerdict.BUSY
        end('b/2')
        # A duplicate request of a released turn is not granted.
        assert ask('b/2') is TurnVerdict.BUSY
        assert ask('c/2') is TurnVerdict.GRANTED
        # An earlier process of this VM may have granted other turns.
        assert ask('d/1', incarnation=99) is TurnVerdict.GONE
        # A turn that expires without a release may hide a crash.
        await asyncio.sleep(20)
        assert ask('d/2') is TurnVerdict.BUSY
        await asyncio.sleep(1)
        assert ask('d/3') is TurnVerdict.QUARANTINED

    run_virtual(main())


def test_turn_is_not_released_before_the_crash_is_recorded() -> None:
    """Guards against a third run when the report of a crash is lost.

    VM 0 reported the first crash. The second run is at VM 1, whose report
    to VM 0 is lost, while the release of its turn arrives.
    """

    async def main() -> None:
        fleet = _fleet()
        first, second = (
            fleet.vms_by_id[VmId(name)].guard for name in ('vm-0', 'vm-1')
        )
        report = _report(reporter='vm-0', incarnation=1)
        first.table.record(report)
        second.table.record(report)
        async with second.watch_attempt(
            an_instance('drafts-9'), FINGERPRINT, deadline=1e6
        ) as turn:
            turn.report = _report(instance_id='drafts-9', incarnation=2)
        await asyncio.sleep(1)
        with pytest.raises(RefusalError, match='crashed twice'):
            first.check(FINGERPRINT)

    run_virtual(main())


@pytest.mark.parametrize('has_stopped', [True, False])
def test_abandoned_run_keeps_its_turn(has_stopped: bool) -> None:
    """Guards against a second run while an abandoned one continues."""

    async def main() -> None:
        fleet = _fleet()
        guard = fleet.vms_by_id[VmId('vm-0')].guard
        guard.table.record(_report(reporter='vm-0', incarnation=1))
        abandoned = an_instance('drafts-0')
        with pytest.raises(UpstreamTimeoutError):
            async with guard.watch_attempt(
                abandoned, FINGERPRINT, deadline=1e6
            ) as turn:
                async with guard.watch_exchange(turn):
                    raise UpstreamTimeoutError('no answer')
        with pytest.raises(RefusalError, match='run before it'):
            async with guard.watch_attempt(
                an_instance(), FINGERPRINT, deadline=1e6
            ):
                pytest.fail('two turns at the same time')
        if has_stopped:
            fleet.upstreams.stop(abandoned.instance_id)
        await asyncio.sleep(15)
        suspect = guard.table.find(FINGERPRINT)
        assert suspect is not None
        assert suspect.is_quarantined is has_stopped

    run_virtual(main())


@pytest.mark.parametrize('patience', [0.15, 0.35])
def test_cancelled_wait_releases_its_turns(patience: float) -> None:
    """Guards against quarantine after the caller disconnects.

    The caller disconnects after the coordinator, or the reporter, has
    granted the turn and before the answer has arrived.
    """

    async def main() -> None:
        fleet = _fleet()
        fleet.network.delay = lambda _sender, _receiver: 0.1
        fleet.network.jitter = 0
        guards = [vm.guard for vm in fleet.vms_by_id.values()]
        incarnation = fleet.vms_by_id[VmId('vm-1')].incarnation
        for guard in guards:
            guard.table.record(_report(incarnation=incarnation))
        instance_id = InstanceId('drafts-9')
        coordinator = rank_vms(
            duty=f'crash/{instance_id}', vm_ids=fleet.vms_by_id
        )[0]
        other = next(
            vm.guard.turns
            for vm in fleet.vms_by_id.values()
            if vm.vm_id not in {coordinator, VmId('vm-1')}
        )
        wait = other.acquire(FINGERPRINT, instance_id, deadline=1e6)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(wait, timeout=patience)
        await asyncio.sleep(1)
        assert await other.acquire(FINGERPRINT, instance_id, deadline=1e6)

    run_virtual(main())


def test_request_that_became_suspect_while_it_waited_is_not_sent() -> None:
    """Guards against a run while another VM holds the turn."""

    async def main() -> None:
        guard = _fleet().vms_by_id[VmId('vm-0')].guard
        async with guard.watch_attempt(
            an_instance(), FINGERPRINT, deadline=1e6
        ) as turn:
            guard.table.record(_report())
            with pytest.raises(RefusalError):
                async with guard.watch_exchange(turn):
                    pytest.fail('the request was sent')

    run_virtual(main())


@pytest.mark.parametrize(
    ('second', 'crashes'),
    [
        # A duplicate of the same report.
        (_report(), 1),
        # The same crash detected by another VM and reported late.
        (_report(reporter='vm-2', age=0.9), 1),
        # Another crash.
        (_report(2, instance_id='drafts-2'), 2),
        # The instance has restarted and crashed again.
        (_report(3, age=-5.0), 2),
    ],
)
def test_crashes_are_counted_once(second: CrashReport, crashes: int) -> None:
    """Guards against quarantine after a single crash."""

    async def main() -> None:
        table = SuspectTable(clock=VirtualClock())
        table.record(_report())
        await asyncio.sleep(1)
        table.record(second)
        suspect = table.find(FINGERPRINT)
        assert suspect is not None
        assert len(suspect.crashes) == crashes
        table.clear(FINGERPRINT)
        assert (table.find(FINGERPRINT) is None) is (crashes == 1)
        assert len(table.history()) == len({second, _report()})

    run_virtual(main())


def test_request_of_a_disconnected_caller_is_watched() -> None:
    """Guards against undetected crashes after the caller disconnects."""

    async def main() -> None:
        fleet = _fleet()
        fleet.upstreams.run_time = 0.4
        request = caller_request(
            method='GET',
            path='/drafts/poison',
            headers=[('Authorization', f'Bearer {ACCOUNT_KEY}')],
        )
        for number in range(VMS):
            await fleet.send(VmId(f'vm-{number}'), request, caller_timeout=0.1)
            await asyncio.sleep(2)
        assert len(fleet.upstreams.runs) == 2

    run_virtual(main())
