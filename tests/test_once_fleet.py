"""Retries through several VMs; the upstream counts every run."""

import asyncio
import json
from collections import Counter
from typing import Any

import attrs
import pytest
from builders import ACCOUNT_KEY, a_fleet, a_route
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzewall import headers as header_rules
from bronzewall.dispatch import Dispatcher
from bronzewall.run_issue import ISSUE_PATH
from bronzewall.run_outcome import MAX_STORED_BODY_BYTES
from bronzewall.standins.memory_faults import TableFaults
from bronzewall.standins.memory_fleet import (
    MemoryAnswer,
    MemoryFleet,
    caller_request,
)
from bronzewall.standins.memory_upstreams import MemoryUpstreamFaults
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import VmId

VM_IDS = tuple(VmId(f'vm-{number}') for number in range(4))
AUTH = ('Authorization', f'Bearer {ACCOUNT_KEY}')
KEY = (header_rules.IDEMPOTENCY_KEY, 'k-1')
SETTLE_TIME_S = 70.0


def _fleet(seed: int = 1, **upstream_faults: Any) -> MemoryFleet:
    routes = [
        a_route(
            name,
            path=f'/{name}/*',
            methods=frozenset({'POST'}),
            idempotent=False,
            idempotency_key=name,
            deadline=3.0,
        )
        for name in ('required', 'optional')
    ]
    return a_fleet(
        routes, vms=len(VM_IDS), instances=3, seed=seed, **upstream_faults
    )


async def _post(
    fleet: MemoryFleet,
    vm: int,
    *headers: tuple[str, str],
    path: str = '/required/7',
    patience: float = 20,
    body: bytes = b'grid',
) -> MemoryAnswer:
    request = caller_request(
        method='POST', path=path, headers=[AUTH, *headers], body=body
    )
    return await fleet.send(VM_IDS[vm], request, caller_timeout=patience)


async def _issued(fleet: MemoryFleet, vm: int) -> tuple[str, str]:
    answer = await _post(fleet, vm, path=ISSUE_PATH)
    return header_rules.RUN_ID, json.loads(answer.body)['run_id']


def _problem(answer: MemoryAnswer) -> dict[str, str]:
    if answer.header('Content-Type') == 'application/problem+json':
        return dict(json.loads(answer.body))
    return {}


@attrs.define(kw_only=True)
class History:
    """Answers that the callers of one request received."""

    answers: list[MemoryAnswer] = attrs.field(factory=list)

    def check(self, fleet: MemoryFleet) -> None:
        """Compare the answers with the runs that the upstream recorded."""
        runs = fleet.upstreams.runs
        ran_ids = {run.request_id for run in runs}
        assert len(runs) <= 1, 'ran twice'
        not_run_answers = 0
        for answer in self.answers:
            problem = _problem(answer)
            if problem.get('ran') == 'no':
                not_run_answers += 1
                assert problem['request_id'] not in ran_ids
            if answer.is_finished and not problem:
                assert runs, 'a success without a run'
                seen = json.loads(answer.body) if answer.body else {}
                assert seen.get('ran', runs[0].request_id) in ran_ids
        if not_run_answers == len(self.answers):
            assert not runs


sends = st.tuples(
    st.just('send'), st.integers(0, 3), st.sampled_from((0.1, 20.0))
)
faults = st.tuples(
    st.sampled_from(('kill', 'restart', 'freeze', 'thaw', 'cut', 'heal')),
    st.integers(0, 3),
    st.integers(0, 3),
)
outages = st.tuples(st.sampled_from(('down', 'up')), st.just(0), st.just(0))
steps = st.lists(
    st.tuples(
        st.sampled_from((0, 0.005, 0.02, 0.3, 2, 9)),
        st.one_of(sends, sends, faults, outages),
    ),
    min_size=4,
    max_size=14,
)
fault_rates = st.sampled_from((0, 0.3))


@settings(max_examples=300)
@given(
    seed=st.integers(0, 10**6),
    is_issued=st.booleans(),
    steps=steps,
    table=st.fixed_dictionaries(
        {'lost': fault_rates, 'dropped': fault_rates, 'late': fault_rates}
    ),
    upstream=st.fixed_dictionaries(
        {
            'connect': fault_rates,
            'shed': fault_rates,
            'break_before': fault_rates,
            'break_after': fault_rates,
            'hang_after': fault_rates,
        }
    ),
    loss=fault_rates,
)
def test_interleavings_of_retries_and_faults(
    seed: int,
    is_issued: bool,
    steps: list[Any],
    table: dict[str, float],
    upstream: dict[str, float],
    loss: float,
) -> None:
    """Guards against two runs and false answers under any interleaving."""

    async def main() -> None:
        fleet = _fleet(seed)
        header = await _issued(fleet, 0) if is_issued else KEY
        fleet.upstreams.faults = MemoryUpstreamFaults(**upstream)
        fleet.apply_table_faults(TableFaults(**table))
        fleet.network.loss = loss
        history = History()
        calls = []

        async def send(vm: int, patience: float) -> None:
            answer = await _post(fleet, vm, header, patience=patience)
            history.answers.append(answer)

        for pause, (kind, first, second) in steps:
            await asyncio.sleep(pause)
            if kind == 'send':
                calls.append(asyncio.create_task(send(first, second)))
            else:
                _inject(fleet, kind, VM_IDS[first], VM_IDS[second])
        await asyncio.gather(*calls)
        fleet.recover()
        await asyncio.sleep(SETTLE_TIME_S)
        for vm, _ in enumerate(VM_IDS):
            await send(vm, 20)
        history.check(fleet)

    run_virtual(main())


def _inject(fleet: MemoryFleet, kind: str, vm_id: VmId, other: VmId) -> None:
    if kind == 'cut':
        fleet.network.block(sender=vm_id, receiver=other)
    elif kind == 'heal':
        fleet.network.heal()
    elif kind in {'down', 'up'}:
        fleet.table_faults.is_down = kind == 'down'
    elif kind == 'restart':
        fleet.restart(vm_id)
    elif not fleet.vms_by_id[vm_id].is_killed:
        getattr(fleet, kind)(vm_id)
        fleet.publish_members()


@pytest.mark.parametrize(
    ('headers', 'path', 'reason', 'runs'),
    [
        ([], '/required/7', 'idempotency_key_required', 0),
        ([], '/optional/7', None, 1),
        ([KEY, (header_rules.RUN_ID, 'x')], '/required/7', 'bad_request', 0),
        ([(header_rules.RUN_ID, 'x')], '/optional/7', 'bad_request', 0),
        ([(KEY[0], 'k' * 300)], '/required/7', 'bad_request', 0),
        ([(KEY[0], '')], '/optional/7', 'bad_request', 0),
    ],
)
def test_required_idempotency_headers(
    headers: Any, path: str, reason: str | None, runs: int
) -> None:
    """Guards against runs that a retry could repeat."""

    async def main() -> None:
        fleet = _fleet()
        problem = _problem(await _post(fleet, 0, *headers, path=path))
        assert problem.get('reason') == reason
        assert problem.get('ran', 'no') == 'no'
        assert len(fleet.upstreams.runs) == runs

    run_virtual(main())


@pytest.mark.parametrize('is_issued', [True, False])
@pytest.mark.parametrize(
    ('body_bytes', 'replay'),
    [(0, 'full'), (MAX_STORED_BODY_BYTES, 'status-only')],
)
def test_disconnected_caller_gets_the_outcome_on_retry(
    is_issued: bool, body_bytes: int, replay: str
) -> None:
    """Guards against losing the outcome with the caller's connection."""

    async def main() -> None:
        fleet = _fleet()
        fleet.upstreams.run_time = 1
        fleet.upstreams.body_bytes = body_bytes
        header = await _issued(fleet, 0) if is_issued else KEY
        lost = await _post(fleet, 1, header, patience=0.1)
        assert lost.is_broken
        early = _problem(await _post(fleet, 2, header))
        assert (early['reason'], early['ran']) == ('in_progress', 'unknown')
        await asyncio.sleep(2)
        found = await _post(fleet, 3, header)
        assert found.status == 201
        assert found.header(header_rules.REPLAY) == replay
        assert bool(found.body) is (replay == 'full')
        changed = _problem(await _post(fleet, 3, header, body=b'other'))
        assert (changed['reason'], changed['ran']) == ('key_reused', 'no')
        assert len(fleet.upstreams.runs) == 1

    run_virtual(main())


@pytest.mark.parametrize('is_frozen', [True, False])
def test_claim_obtained_after_the_deadline_is_not_sent(is_frozen: bool) -> None:
    """Guards against a run after the deadline of the request.

    The store is slow, or the VM is frozen while it waits for the store.
    """

    async def main() -> None:
        fleet = _fleet()
        fleet.table_faults.delay = 0.5 if is_frozen else 10
        call = asyncio.create_task(_post(fleet, 0, KEY))
        await asyncio.sleep(1.3)
        if is_frozen:
            fleet.freeze(VM_IDS[0])
            await asyncio.sleep(30)
            fleet.thaw(VM_IDS[0])
        else:
            await asyncio.sleep(2)
            assert call.done()
        assert _problem(await call)['ran'] == 'no'
        fleet.table_faults.delay = 0
        await asyncio.sleep(SETTLE_TIME_S)
        assert not fleet.upstreams.runs
        assert (await _post(fleet, 1, KEY)).status == 201

    run_virtual(main())


class SlowDispatcher(Dispatcher):
    """Returns an instance only after the deadline."""

    async def acquire(self, **request: Any) -> Any:
        """Wait before the instance is chosen, as in a long queue."""
        await asyncio.sleep(4)
        return await super().acquire(**request)


def test_request_that_waited_too_long_is_not_sent() -> None:
    """Guards against a late run after a retry was answered "unknown"."""

    async def main() -> None:
        fleet = _fleet()
        path = fleet.vms_by_id[VM_IDS[0]].path
        path.dispatcher = SlowDispatcher(random=fleet.random)
        problem = _problem(await _post(fleet, 0, KEY))
        assert (problem['reason'], problem['ran']) == ('upstream_timeout', 'no')
        assert not fleet.upstreams.runs

    run_virtual(main())


def test_unexpected_exception_is_an_unknown_outcome() -> None:
    """Guards against a second run after an unexpected exception."""

    async def main() -> None:
        fleet = _fleet()
        fleet.upstreams.faults.crashes = _fail
        failed = _problem(await _post(fleet, 0, KEY))
        assert failed['reason'] == 'internal_error'
        assert failed['ran'] == 'unknown'
        await asyncio.sleep(1)
        problem = _problem(await _post(fleet, 1, KEY))
        assert problem['reason'] == 'outcome_unknown'
        assert len(fleet.upstreams.runs) == 1

    run_virtual(main())


def _fail(_target: str) -> bool:
    raise ZeroDivisionError


def test_issued_ids_work_during_a_store_outage() -> None:
    """Guards against issued ids that depend on the store."""

    async def main() -> None:
        fleet = _fleet()
        fleet.table_faults.is_down = True
        header = await _issued(fleet, 0)
        answers = [await _post(fleet, vm, header) for vm in (1, 2)]
        assert {answer.status for answer in answers} == {201}
        refused = _problem(await _post(fleet, 1, KEY))
        assert refused['reason'] == 'store_unavailable'
        assert refused['ran'] == 'no'
        assert 'earlier attempts' in refused['detail']
        assert len(fleet.upstreams.runs) == 1
        assert not fleet.platform.store.writes

    run_virtual(main())


@pytest.mark.parametrize(
    ('fault', 'reason', 'ran'),
    [
        ('kill', 'outcome_unknown', 'unknown'),
        ('cut', 'run_id_unreachable', 'no'),
        ('restart', 'outcome_unknown', 'unknown'),
    ],
)
def test_coordinator_that_cannot_grant_permission(
    fault: str, reason: str, ran: str
) -> None:
    """Guards against a run without permission and a false answer."""

    async def main() -> None:
        fleet = _fleet()
        header = await _issued(fleet, 0)
        if fault == 'cut':
            fleet.network.block(sender=VM_IDS[0], receiver=VM_IDS[1])
        else:
            fleet.kill(VM_IDS[0])
            fleet.publish_members()
        if fault == 'restart':
            fleet.start(VM_IDS[0])
        problem = _problem(await _post(fleet, 1, header))
        assert (problem['reason'], problem['ran']) == (reason, ran)
        assert not fleet.upstreams.runs
        # Another VM can reach the coordinator unless its process has ended.
        again = await _post(fleet, 2, header)
        assert (again.status == 201) is (fault == 'cut')

    run_virtual(main())


def test_attempts_that_did_not_run_leave_the_key_usable() -> None:
    """Guards against refusals after which a key cannot be used."""

    async def main() -> None:
        fleet = _fleet(connect=1)
        for header in (KEY, await _issued(fleet, 0)):
            refused = _problem(await _post(fleet, 1, header))
            assert (refused['reason'], refused['ran']) == ('no_instance', 'no')
            await asyncio.sleep(1)
            fleet.upstreams.faults.connect = 0
            assert (await _post(fleet, 2, header)).status == 201
            fleet.upstreams.faults.connect = 1
        runs = Counter(run.request_id for run in fleet.upstreams.runs)
        assert sorted(runs.values()) == [1, 1]

    run_virtual(main())
