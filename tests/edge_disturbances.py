"""A zone under disturbances that a seed draws, and the ages at use."""

import asyncio
import random

import attrs
from edge_builders import an_edge_configuration, an_edge_instance
from edge_fleet import TICK_S, Fleet

from bronzewall.types import VmId

_SETTLE_S = 3.0
_LENGTH_S = 9.0
_CHANGE_PAUSES_S = (0.2, 2.5)
_INSTANCES = 12
# Ages of the copies from which the store is restored, and times for which it
# is away, seconds.
_COPY_AGES_S = (0.2, 3.0)
_AWAY_S = (0.02, 0.3)
_CUTS = 20
_KILLS_PER_TICK = 0.01
_FREEZES_PER_TICK = 0.01
_FREEZE_S = 1.0
# A VM renews its data within this time after it stood still, seconds; for that
# time its clock did not show how old they are.
_AFTER_FREEZE_S = 0.4


@attrs.frozen(kw_only=True)
class Disturbances:
    """What happens to one zone.

    :param away_share: share of the VMs that the store turns away.
    :param is_silent: the store does not answer these VMs at all.
    :param has_cuts: one-way cuts between VMs.
    :param has_kills: leaders are killed and start again.
    :param has_freezes: VMs stand still.
    :param loses_history: the store drops its history at changes.
    :param restores_store: the store is away for a moment and comes back from
        a copy, again and again; instances leave and do not end.
    """

    vms: int = 17
    away_share: float = 0.4
    is_silent: bool = False
    has_cuts: bool = False
    has_kills: bool = False
    has_freezes: bool = False
    loses_history: bool = False
    restores_store: bool = False


@attrs.define(kw_only=True)
class _Changes:
    """Times at which versions and shorter instance lists were accepted."""

    random: random.Random
    version: int = 1
    listed: int = _INSTANCES
    version_times: list[tuple[int, float]] = attrs.field(factory=list)
    list_times: list[tuple[int, float]] = attrs.field(factory=list)
    next_version_at: float = 0
    next_list_at: float = 0

    def list_instances(self, fleet: Fleet, case: Disturbances) -> None:
        """List the instances that have not left."""
        leaving = range(self.listed, _INSTANCES if case.restores_store else 0)
        fleet.list_instances(
            *(an_edge_instance(f'i-{number}') for number in range(self.listed)),
            *(
                an_edge_instance(f'i-{number}', is_leaving=True)
                for number in leaving
            ),
        )

    def apply(self, fleet: Fleet, now: float, case: Disturbances) -> None:
        if now >= self.next_version_at:
            self.version += 1
            fleet.shared.publish(an_edge_configuration(self.version))
            self.version_times.append((self.version, now))
            self.next_version_at = now + self.random.uniform(*_CHANGE_PAUSES_S)
            if case.loses_history and self.random.random() < 0.5:
                fleet.shared.drop_history()
        if now >= self.next_list_at and self.listed:
            self.listed -= 1
            self.list_instances(fleet, case)
            self.list_times.append((self.listed, now))
            self.next_list_at = now + self.random.uniform(*_CHANGE_PAUSES_S)

    def oldest_missing(self, version: int, listed: int) -> float:
        """Return when the first change that a VM lacks was accepted."""
        missing = [at for number, at in self.version_times if number > version]
        missing.extend(at for left, at in self.list_times if left < listed)
        return min(missing, default=float('inf'))


def list_first(fleet: Fleet, count: int) -> None:
    """List the first instances of a fixed sequence."""
    fleet.list_instances(
        *(an_edge_instance(f'i-{number}') for number in range(count))
    )


async def oldest_use(seed: int, case: Disturbances) -> tuple[float, str, int]:
    """Return the greatest age of what a VM used, which one, and the calls.

    The age is that of the first accepted change that the VM did not know.
    """
    drawn = random.Random(seed)
    names = [f'vm-{number:02}' for number in range(case.vms)]
    fleet = Fleet(*names)
    list_first(fleet, _INSTANCES)
    await fleet.start()
    await asyncio.sleep(_SETTLE_S)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    calls_before = _calls(fleet)
    away = set(drawn.sample(names, int(case.vms * case.away_share)))
    _turn_away(fleet, away, case)
    if case.has_cuts:
        for _ in range(_CUTS):
            sender, receiver = drawn.sample(names, 2)
            fleet.network.block(sender=VmId(sender), receiver=VmId(receiver))
    changes = _Changes(random=drawn)
    restores = asyncio.ensure_future(_restore_store(fleet, case, changes))
    worst = (0, '')
    thawed_at: dict[str, float] = {}
    while loop.time() < started_at + _LENGTH_S:
        now = loop.time()
        if not fleet.shared.is_unavailable:
            changes.apply(fleet, now, case)
        await _disturb(fleet, case, drawn, away)
        for vm_id in fleet.network.frozen_ids:
            thawed_at[vm_id] = now + _AFTER_FREEZE_S
        for name, vm in fleet.vms.items():
            if vm.directory.version < 0 or thawed_at.get(name, 0) > now:
                continue
            missing_at = changes.oldest_missing(
                vm.directory.version, len(vm.catalog.usable('drafts'))
            )
            worst = max(worst, (now - missing_at, name))
        await asyncio.sleep(TICK_S)
    calls = _calls(fleet) - calls_before
    restores.cancel()
    await fleet.stop()
    return (*worst, calls)


async def _disturb(
    fleet: Fleet, case: Disturbances, drawn: random.Random, away: set[str]
) -> None:
    if case.has_kills and drawn.random() < _KILLS_PER_TICK and fleet.leaders():
        name = drawn.choice(fleet.leaders())
        await fleet.restart(name)
        _turn_away(fleet, away & {name}, case)
    if case.has_freezes and drawn.random() < _FREEZES_PER_TICK:
        vm_id = VmId(drawn.choice(list(fleet.vms)))
        fleet.network.freeze(vm_id)
        asyncio.get_running_loop().call_later(
            _FREEZE_S, fleet.network.thaw, vm_id
        )


async def _restore_store(
    fleet: Fleet, case: Disturbances, changes: _Changes
) -> None:
    """Restore the store again and again; all is written again at once."""
    drawn = changes.random
    while case.restores_store:
        copy = fleet.shared.copy()
        await asyncio.sleep(drawn.uniform(*_COPY_AGES_S))
        fleet.shared.is_unavailable = True
        await asyncio.sleep(drawn.uniform(*_AWAY_S))
        fleet.shared.restore(copy)
        fleet.shared.publish(an_edge_configuration(changes.version))
        changes.list_instances(fleet, case)
        fleet.shared.is_unavailable = False


def _turn_away(fleet: Fleet, names: set[str], case: Disturbances) -> None:
    for name in names:
        store = fleet.vms[name].store
        store.is_hung = case.is_silent
        store.is_unavailable = not case.is_silent


def _calls(fleet: Fleet) -> int:
    return sum(vm.store.calls for vm in fleet.vms.values())
