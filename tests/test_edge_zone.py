"""Tests of zone leaders and members over lossy in-memory links."""

import asyncio
import random

import pytest
from edge_builders import (
    a_vm,
    an_edge_account,
    an_edge_configuration,
    an_edge_instance,
)
from edge_fleet import TICK_S, Fleet, settled

from bronzewall.edge.failure_estimates import Observation
from bronzewall.edge.zone_messages import MemberReport
from bronzewall.messages import Envelope
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import InstanceId, VmId

# An account may exceed its rate and burst by this factor and these requests in
# any window.
_TOLERANCE = 1.1
_SLACK = 20


def test_one_vm_reads_the_store_for_its_zone() -> None:
    # Guards against every VM reading the store, whose calls are billed.
    async def main() -> None:
        fleet = await settled('a', 'b', 'c')
        assert fleet.leaders() == ['a']
        assert all(vm.directory.version == 1 for vm in fleet.vms.values())
        assert all(vm.freshness.is_fresh() for vm in fleet.vms.values())
        before = fleet.vms['b'].store.calls
        await asyncio.sleep(5)
        assert fleet.vms['b'].store.calls == before
        await fleet.stop()

    run_virtual(main())


def test_change_is_active_within_bound_on_every_vm() -> None:
    async def main() -> None:
        fleet = await settled('a', 'b', 'c')
        fleet.shared.publish(an_edge_configuration(2))
        await asyncio.sleep(0.5)
        assert all(vm.directory.version == 2 for vm in fleet.vms.values())
        await fleet.stop()

    run_virtual(main())


def test_change_during_silent_watch_with_history_dropped() -> None:
    # Before a store drops its history, its watch may report no changes for
    # a second. The rows must be read when the watch ends.
    async def main() -> None:
        fleet = await settled('a', 'b')
        for vm in fleet.vms.values():
            vm.store.omits_changes = True
        fleet.shared.publish(an_edge_configuration(2))
        await asyncio.sleep(1)
        fleet.shared.drop_history()
        await asyncio.sleep(0.9)
        assert [vm.directory.version for vm in fleet.vms.values()] == [2, 2]
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize('delay', [0, 0.4, 0.8, 1.2, 1.4])
def test_keys_work_for_the_first_seconds_of_an_outage(delay: float) -> None:
    # Keys must stay fresh through the outage however long before it they
    # were last confirmed; that age depends on when the outage starts.
    async def main() -> None:
        fleet = await settled('a', 'b')
        await asyncio.sleep(delay)
        fleet.shared.is_unavailable = True
        ends_at = fleet.vms['a'].clock.now() + 2.9
        while fleet.vms['a'].clock.now() < ends_at:
            for vm in fleet.vms.values():
                assert (await vm.ask()).status == 200
        await fleet.stop()

    run_virtual(main())


def test_killed_leader_is_replaced_before_keys_are_stale() -> None:
    async def main() -> None:
        fleet = await settled('a', 'b', 'c')
        fleet.network.freeze(VmId('a'))
        fresh = []
        for _ in range(60):
            await asyncio.sleep(TICK_S)
            fresh.append(
                fleet.vms['b'].freshness.is_fresh()
                and fleet.vms['c'].freshness.is_fresh()
            )
        assert all(fresh)
        assert 'b' in fleet.leaders()
        await fleet.stop()

    run_virtual(main())


def test_leader_without_the_store_is_replaced() -> None:
    async def main() -> None:
        fleet = await settled('a', 'b', 'c')
        fleet.vms['a'].store.is_unavailable = True
        await asyncio.sleep(3)
        fleet.shared.publish(an_edge_configuration(2))
        await asyncio.sleep(0.6)
        assert [vm.directory.version for vm in fleet.vms.values()] == [2, 2, 2]
        assert 'a' not in fleet.leaders()
        await fleet.stop()

    run_virtual(main())


def test_leaving_instance_unused_within_bound_after_leader_change() -> None:
    # Guards against a list that is confirmed by a leader that did not send
    # it: equal revisions of two leaders kept a leaving instance in use.
    async def main() -> None:
        fleet = await settled('a', 'b', 'c')
        fleet.network.freeze(VmId('a'))
        await asyncio.sleep(1.5)
        fleet.list_instances(an_edge_instance(is_leaving=True))
        fleet.network.thaw(VmId('a'))
        await asyncio.sleep(1.8)
        for vm in fleet.vms.values():
            assert not vm.catalog.usable('drafts')
        await fleet.stop()

    run_virtual(main())


def test_partitioned_vm_rejects_keys_in_time() -> None:
    async def main() -> None:
        fleet = await settled('a', 'b')
        for one, other in (('a', 'b'), ('b', 'a')):
            fleet.network.block(sender=VmId(one), receiver=VmId(other))
        fleet.vms['b'].store.is_unavailable = True
        await asyncio.sleep(2)
        fleet.shared.publish(an_edge_configuration(2, accounts=()))
        await asyncio.sleep(2.9)
        assert not fleet.vms['b'].freshness.is_fresh()
        await fleet.stop()

    run_virtual(main())


def test_keys_are_stale_during_a_store_outage_and_fresh_after_it() -> None:
    async def main() -> None:
        fleet = await settled('a', 'b')
        fleet.shared.is_unavailable = True
        await asyncio.sleep(5)
        assert not any(vm.freshness.is_fresh() for vm in fleet.vms.values())
        fleet.shared.is_unavailable = False
        await asyncio.sleep(3)
        assert all(vm.freshness.is_fresh() for vm in fleet.vms.values())
        await fleet.stop()

    run_virtual(main())


def test_observed_failure_reaches_the_whole_zone() -> None:
    async def main() -> None:
        fleet = await settled('a', 'b', 'c')
        for _ in range(2):
            fleet.vms['b'].state.record_observation(
                InstanceId('i-1'),
                Observation.FAILED,
                now=fleet.vms['b'].clock.now(),
            )
        await asyncio.sleep(0.3)
        for vm in fleet.vms.values():
            now = vm.clock.now()
            assert (
                vm.state.failure_probability(InstanceId('i-1'), now=now) > 0.5
            )
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize('loss', [0, 0.05])
def test_rate_is_pooled_over_zones_and_not_exceeded(loss: float) -> None:
    # One zone has all the demand: it receives the tokens of the other one,
    # and the fleet never admits more than burst and rate allow.
    async def main() -> None:
        fleet = Fleet('a')
        fleet.network.loss = loss
        fleet.vms.clear()
        first = fleet.add('a', zones=2)
        fleet.add('z', zone='dhofar-a', zones=2)
        account = an_edge_account(rate=10, burst=10)
        fleet.shared.publish(an_edge_configuration(2, accounts=(account,)))
        await fleet.start()
        await asyncio.sleep(3)
        admitted = 0
        for _ in range(400):
            await asyncio.sleep(0.025)
            writer = await first.ask()
            admitted += writer.status == 200
        # 400 requests with pauses of at least 10 s in all, and 0.1 s of work
        # each.
        seconds = 400 * 0.125
        assert admitted <= 10 + 10 * seconds
        assert admitted >= 0.6 * min(400, 10 * seconds)
        await fleet.stop()

    run_virtual(main())


def test_restart_of_the_whole_fleet_serves_at_once() -> None:
    # The store still holds entries of VMs that no longer run. A candidate
    # for leader must not wait for them before it serves requests.
    async def main() -> None:
        fleet = Fleet()
        for number in range(8):
            fleet.shared.register(a_vm(f'vm-{number}', started_ms=number))
        vm = fleet.add('vm-7', started_ms=100_000)
        start = asyncio.create_task(fleet.start())
        await asyncio.sleep(0.02)
        assert (await vm.ask()).status == 200
        await start
        await fleet.stop()

    run_virtual(main())


def test_two_leaders_of_a_partitioned_zone_share_its_rate() -> None:
    # Found by the soak with seed 118: each half of a partitioned zone of two
    # VMs used the rate of the whole zone.
    async def main() -> None:
        fleet = await settled('a', 'b')
        account = an_edge_account(rate=20, burst=2)
        fleet.shared.publish(an_edge_configuration(2, accounts=(account,)))
        await asyncio.sleep(0.5)
        for one, other in (('a', 'b'), ('b', 'a')):
            fleet.network.block(sender=VmId(one), receiver=VmId(other))
        await asyncio.sleep(3)
        asked = []
        for _ in range(200):
            for vm in fleet.vms.values():
                vm.instances.response_time = 0
                asked.append(asyncio.ensure_future(vm.ask()))
            await asyncio.sleep(0.025)
        statuses = [answer.status for answer in await asyncio.gather(*asked)]
        # The last requests wait for a token for at most half a second.
        assert statuses.count(200) <= 20 * 5.5 * 1.1 + 2 + 4
        await fleet.stop()

    run_virtual(main())


def test_parts_of_a_zone_that_is_cut_for_long_share_its_rate() -> None:
    # VMs that are only out of reach must not have their quota share used by
    # others. Each part counted the VMs of the other one as departed.
    async def main() -> None:
        fleet = await settled('a', 'b', 'c', 'd', 'e')
        for one in ('a', 'b'):
            for other in ('c', 'd', 'e'):
                fleet.network.block(sender=VmId(one), receiver=VmId(other))
                fleet.network.block(sender=VmId(other), receiver=VmId(one))
        await asyncio.sleep(3)
        for _ in range(37):
            await asyncio.sleep(1)
            leaders = [fleet.vms[name].leader for name in fleet.leaders()]
            fractions = [
                one._quota_fraction(one.clock.now()) for one in leaders
            ]
            assert len(leaders) == 2
            assert sum(fractions) <= 1.41
        # The greater part counts the two others as departed after a time.
        assert sorted(fractions) == pytest.approx([0.4, 1.0])
        await fleet.stop()

    run_virtual(main())


def test_leader_that_leaves_is_no_longer_a_candidate() -> None:
    # A VM that still counts it waits longer before it becomes leader, and
    # leaves its quota share of the accounts unused.
    async def main() -> None:
        fleet = await settled('a', 'b', 'c')
        leaving = fleet.vms['a']
        leaving.election.is_leaving = True
        leaving.leader.announce_leaving()
        await fleet.kill('a')
        await asyncio.sleep(0.01)
        for name in ('b', 'c'):
            entries = fleet.vms[name].fleet.zone_vms()
            assert [entry.vm_id for entry in entries] == ['b', 'c']
        await fleet.stop()

    run_virtual(main())


def test_vm_that_could_not_read_the_vms_finds_its_leader() -> None:
    # Found by the soak with seed 118: a restarted VM that the store refused
    # got statuses of a leader whose entry it lacked. It followed no leader
    # and never became one.
    async def main() -> None:
        fleet = await settled('a', 'b')
        late = fleet.add('c', started_ms=10_000)
        late.store.is_unavailable = True
        fleet.shared.register(late.fleet.own)
        await fleet.vms['a'].reader._read_vms()
        fleet._run(late.fleet.own.vm_id, late.reader.join(), fleet._tick(late))
        await asyncio.sleep(2)
        assert (await late.ask()).status == 200
        await fleet.stop()

    run_virtual(main())


def test_candidates_take_turns_after_a_leader_without_the_store() -> None:
    # Guards against candidates that all try the store in the same moment, and
    # then all wait: they counted from when a VM that has long been without
    # the store lost it, and not from when the leader before did.
    async def main() -> None:
        names = [f'vm-{number:02}' for number in range(12)]
        fleet = await settled(*names)
        first, second = names[:2]
        fleet.vms[first].store.is_unavailable = True
        await asyncio.sleep(5)
        assert fleet.leaders() == [second]
        calls = {name: fleet.vms[name].store.calls for name in names}
        fleet.shared.is_unavailable = True
        await asyncio.sleep(0.25)
        tried = [
            name
            for name in names[2:]
            if fleet.vms[name].store.calls > calls[name]
        ]
        assert len(tried) <= 3
        fleet.shared.is_unavailable = False
        fleet.shared.publish(an_edge_configuration(2))
        await asyncio.sleep(1)
        assert all(vm.directory.version == 2 for vm in fleet.vms.values())
        await fleet.stop()

    run_virtual(main())


def test_observation_that_only_a_later_build_knows() -> None:
    # Guards against a leader whose link to upgraded VMs breaks with each of
    # their reports.
    async def main() -> None:
        fleet = await settled('a', 'b')
        leader = fleet.vms['a'].leader
        report = MemberReport(
            stamp=1, signs=[('i-1', 'NEW'), ('i-1', 'FAILED')], version=1
        )
        leader.handle_report(
            Envelope(sender=VmId('b'), incarnation=1, sequence=1, body=report)
        )
        estimates = fleet.vms['a'].state.zone_estimates
        assert 'i-1' in estimates.significant(now=leader.clock.now())
        await fleet.stop()

    run_virtual(main())


def test_failed_registration_is_retried() -> None:
    async def main() -> None:
        fleet = Fleet('a')
        vm = fleet.vms['a']
        vm.store.is_unavailable = True
        task = asyncio.ensure_future(vm.reader.join())
        await asyncio.sleep(2)
        vm.store.is_unavailable = False
        await asyncio.sleep(2)
        assert vm.fleet.own in fleet.shared.vms()
        task.cancel()

    run_virtual(main())


def test_new_leader_keeps_the_rate_of_its_zone() -> None:
    # A new leader has received no reports yet; it must not treat the VMs of
    # the zone as partitioned and reduce the rate.
    async def main() -> None:
        fleet = await settled('a', 'b', 'c', 'd', 'e')
        account = an_edge_account(rate=24, burst=3)
        fleet.shared.publish(an_edge_configuration(2, accounts=(account,)))
        await asyncio.sleep(1)
        fleet.network.freeze(VmId('a'))
        statuses = []
        for _ in range(60):
            for name in ('c', 'd'):
                fleet.vms[name].instances.response_time = 0
                statuses.append((await fleet.vms[name].ask()).status)
            await asyncio.sleep(0.1)
        assert statuses.count(200) / len(statuses) > 0.97
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize('delay', [0, 0.2, 0.4, 0.6, 0.8])
def test_change_while_the_store_is_silent_for_some(delay: float) -> None:
    # Found on trouble-1 of wrzosek-gw: the store refused some VMs, among
    # them the leader and the next candidates, while a key was withdrawn.
    async def main() -> None:
        names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']
        fleet = await settled(*names)
        await asyncio.sleep(delay)
        for name in names[:4]:
            fleet.vms[name].store.is_hung = True
        fleet.shared.publish(an_edge_configuration(2))
        await asyncio.sleep(2)
        behind = [
            name for name, vm in fleet.vms.items() if vm.directory.version != 2
        ]
        assert not behind
        await fleet.stop()

    run_virtual(main())


@pytest.mark.parametrize('seed', range(3))
def test_leader_changes_grant_no_further_burst(seed: int) -> None:
    # Seen once in a hunt (wrzosek-gw, scale-2, seed 273082778615): 565 requests
    # of a hot account in 5 s, allowed 555, while VMs lost the store. Each new
    # leader began with a bucket of its own.
    async def main() -> None:
        names = ['a', 'b', 'c', 'd', 'e', 'f']
        fleet = await settled(*names)
        account = an_edge_account(rate=10, burst=40)
        fleet.shared.publish(an_edge_configuration(2, accounts=(account,)))
        await asyncio.sleep(8)
        drawn = random.Random(seed)
        admitted = 0
        started = fleet.vms['a'].clock.now()
        for step in range(200):
            if step % 20 == 0:
                away = drawn.sample(names, 3)
                for name, vm in fleet.vms.items():
                    vm.store.is_unavailable = name in away
            for vm in fleet.vms.values():
                vm.instances.response_time = 0
                admitted += (await vm.ask()).status == 200
            await asyncio.sleep(0.05)
        seconds = fleet.vms['a'].clock.now() - started
        await fleet.stop()
        assert admitted <= _TOLERANCE * (40 + 10 * seconds) + _SLACK

    run_virtual(main())


@pytest.mark.parametrize('seed', range(3))
def test_zone_without_a_leader_keeps_its_rate(seed: int) -> None:
    # Pattern: the leader of a zone is killed while one account sends many times
    # its rate through all VMs.
    async def main() -> None:
        names = [f'vm-{number}' for number in range(8)]
        fleet = await settled(*names)
        account = an_edge_account(rate=14, burst=14)
        fleet.shared.publish(an_edge_configuration(2, accounts=(account,)))
        await asyncio.sleep(4)
        drawn = random.Random(seed)
        admitted = []
        for step in range(160):
            if step == 60:
                await fleet.kill(fleet.leaders()[0])
            for vm in fleet.vms.values():
                vm.instances.response_time = 0
                is_alive = vm.fleet.own.vm_id in fleet.tasks_by_name
                if is_alive and (await vm.ask()).status == 200:
                    admitted.append(vm.clock.now())
            await asyncio.sleep(0.05 * drawn.uniform(0.9, 1.1))
        await fleet.stop()
        most = max(
            sum(begin <= at < begin + 5 for at in admitted)
            for begin in admitted
        )
        assert most <= _TOLERANCE * (14 + 14 * 5) + _SLACK

    run_virtual(main())
