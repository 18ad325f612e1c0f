"""Builds the crash guard of one VM."""

import random

from bronzewall.background import BackgroundTasks
from bronzewall.crash_guard import CrashGuard, Prober
from bronzewall.crash_suspects import SuspectTable
from bronzewall.crash_turns import CrashTurns
from bronzewall.membership import Members
from bronzewall.peer_calls import PeerEndpoint
from bronzewall.ports import Clock
from bronzewall.run_setup import process_end_check


def build_crash_guard(
    *,
    endpoint: PeerEndpoint,
    clock: Clock,
    members: Members,
    refuses_connections: Prober,
    rng: random.Random,
) -> CrashGuard:
    """Return the crash guard of one VM.

    :param refuses_connections: probes an instance; true if no connection
        can be opened.
    :param rng: chooses the VMs to which reports are forwarded and the VM
        that is asked for earlier reports.
    """
    table = SuspectTable(clock=clock)
    tasks = BackgroundTasks()
    turns = CrashTurns(
        clock=clock,
        endpoint=endpoint,
        members=members,
        table=table,
        tasks=tasks,
        has_ended=process_end_check(endpoint=endpoint, members=members),
    )
    guard = CrashGuard(
        clock=clock,
        endpoint=endpoint,
        members=members,
        random=rng,
        table=table,
        turns=turns,
        tasks=tasks,
        refuses_connections=refuses_connections,
    )
    turns.on_expired_turn = guard.report_expired_turn
    return guard
