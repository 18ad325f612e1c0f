"""Builds the objects of one VM that run requests at most once."""

import random
import secrets
from collections.abc import Callable

from bronzewall.background import BackgroundTasks
from bronzewall.issued_ids import IssuedIds
from bronzewall.membership import Members
from bronzewall.once import KeyLedger
from bronzewall.once_cleanup import OnceSweep
from bronzewall.once_rows import TableClock
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock, TableService
from bronzewall.run_gate import RunGate
from bronzewall.run_permits import RunPermits
from bronzewall.types import VmId, VmState

_SECRET_BYTES = 32


def process_end_check(
    *, endpoint: PeerEndpoint, members: Members
) -> Callable[[VmId, int], bool]:
    """Return a function that returns whether a VM's process has ended.

    It returns true only if the end of the process is certain.
    """

    def has_ended(vm_id: VmId, incarnation: int) -> bool:
        if vm_id == endpoint.vm_id:
            return incarnation != endpoint.incarnation
        record = members.records_by_id.get(vm_id)
        return record is not None and record.state is VmState.DESTROYED

    return has_ended


def build_run_gate(
    *,
    endpoint: PeerEndpoint,
    clock: Clock,
    table: TableService,
    members: Members,
    rng: random.Random,
) -> RunGate:
    """Return the run gate of one VM.

    :param rng: source of unpredictable numbers.
    """

    has_ended = process_end_check(endpoint=endpoint, members=members)
    return RunGate(
        keys=KeyLedger(
            vm_id=endpoint.vm_id,
            incarnation=endpoint.incarnation,
            clock=clock,
            table=table,
            has_ended=has_ended,
            tasks=BackgroundTasks(),
            table_clock=TableClock(clock=clock, table=table),
        ),
        permits=RunPermits(
            ids=IssuedIds(
                vm_id=endpoint.vm_id,
                incarnation=endpoint.incarnation,
                clock=clock,
                random=rng,
                secret=secrets.token_bytes(_SECRET_BYTES),
            ),
            endpoint=endpoint,
            clock=clock,
            tasks=BackgroundTasks(),
            has_ended=has_ended,
        ),
    )


def once_sweep(*, gate: RunGate, members: Members) -> OnceSweep:
    """Return the object that deletes expired keys for one VM."""
    keys = gate.keys
    return OnceSweep(
        clock=keys.clock,
        table=keys.table,
        table_clock=keys.table_clock,
        members=members,
    )
