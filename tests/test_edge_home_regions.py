"""Tests of routes and accounts that are bound to some regions."""

import asyncio
import math

import pytest
from edge_builders import (
    EdgeVm,
    a_vm,
    an_edge_account,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
    an_edge_vm,
)
from hypothesis import given
from hypothesis import strategies as st

from bronzewall.edge.home_regions import HomeRegions, allows, combine
from bronzewall.edge.ports import InstanceAnswer, InstanceRequest
from bronzewall.edge.relay_peers import RelayPeer
from bronzewall.errors import (
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamShedError,
)
from bronzewall.standins.memory_store import answer_of
from bronzewall.standins.virtual_time import run_virtual
from bronzewall.types import ServiceName, VmId

_DRAFTS = ServiceName('drafts')
_ZONES = ('muscat-a', 'muscat-b', 'dhofar-a', 'sharqiyah-a')
_REGIONS = ('muscat', 'dhofar', 'sharqiyah')
_BOUNDS = st.one_of(
    st.none(), st.frozensets(st.sampled_from((*_REGIONS, 'elsewhere')))
)


@given(bounds=st.lists(_BOUNDS), region=st.sampled_from(_REGIONS))
def test_every_bound_holds(bounds: list[HomeRegions | None], region) -> None:
    """Guards against a bound of the route that replaces the account's."""
    assert allows(combine(*bounds), region) == all(
        allows(bound, region) for bound in bounds
    )


def a_bound_vm(
    *,
    route: HomeRegions | None = None,
    account: HomeRegions | None = None,
    idempotent: bool = True,
    vm_zone: str = 'sharqiyah-a',
) -> EdgeVm:
    """Return a VM with two instances in each zone, ``ZONE/i-N``."""
    vm = an_edge_vm(a_vm('vm-1', vm_zone))
    vm.serve_alone(
        *(
            an_edge_instance(f'{zone}/i-{number}', zone=zone)
            for zone in _ZONES
            for number in range(2)
        ),
        configuration=an_edge_configuration(
            routes=(
                an_edge_route(
                    idempotent=idempotent, home_regions=route, timeout=6.0
                ),
            ),
            accounts=(an_edge_account(home_regions=account),),
        ),
    )
    return vm


def record_sends(vm: EdgeVm, behave=None) -> list[str]:
    """Return a list that collects the instances that get requests."""
    sent: list[str] = []

    async def answer(request: InstanceRequest) -> InstanceAnswer:
        sent.append(request.instance_id)
        return await behave(request) if behave else answer_of(request)

    for name in vm.catalog.instances_by_id:
        vm.instances.behaviours_by_id[name] = answer
    return sent


def regions_of(sent: list[str]) -> set[str]:
    return {name.partition('-')[0] for name in sent}


async def _fail(_request: InstanceRequest) -> InstanceAnswer:
    raise UpstreamBrokenError('reset')


async def _shed(_request: InstanceRequest) -> InstanceAnswer:
    raise UpstreamShedError('full')


async def _miss(_request: InstanceRequest) -> InstanceAnswer:
    raise ConnectFailedError('refused')


async def _error(request: InstanceRequest) -> InstanceAnswer:
    return answer_of(request, status=500)


async def _stall(request: InstanceRequest) -> InstanceAnswer:
    await asyncio.sleep(3)
    return answer_of(request)


# Guards against a first send, a retry or a hedge that leaves the regions.
@pytest.mark.parametrize('behave', [None, _fail, _shed, _miss, _error, _stall])
@pytest.mark.parametrize(
    ('route', 'account', 'allowed'),
    [
        ({'muscat'}, None, {'muscat'}),
        (None, {'dhofar'}, {'dhofar'}),
        ({'muscat', 'dhofar'}, {'dhofar', 'sharqiyah'}, {'dhofar'}),
    ],
)
def test_sends_stay_in_the_regions(route, account, allowed, behave) -> None:
    async def main() -> list[str]:
        vm = a_bound_vm(
            route=route and frozenset(route),
            account=account and frozenset(account),
        )
        sent = record_sends(vm, behave)
        for _ in range(20):
            await vm.ask()
        return sent

    assert regions_of(run_virtual(main())) == allowed


# Guards against a request without a bound that is kept in some region.
def test_request_without_a_bound_goes_to_the_nearest_instance() -> None:
    async def main() -> list[str]:
        vm = a_bound_vm()
        sent = record_sends(vm)
        await vm.ask()
        return sent

    assert regions_of(run_virtual(main())) == {'sharqiyah'}


# Guards against a region that is unknown, or bounds without a common region,
# read as no bound.
@pytest.mark.parametrize(
    ('route', 'account'),
    [
        ({'elsewhere'}, None),
        (None, {'elsewhere'}),
        ({'muscat'}, {'dhofar'}),
        (set(), None),
    ],
)
def test_request_that_no_region_may_serve_is_refused(route, account) -> None:
    async def main() -> tuple[list[str], int, str, float, int]:
        vm = a_bound_vm(
            route=None if route is None else frozenset(route),
            account=None if account is None else frozenset(account),
        )
        sent = record_sends(vm)
        started = vm.clock.now()
        writer = await vm.ask()
        problem = writer.body.decode()
        seconds = vm.clock.now() - started
        counted = vm.path.metrics.events['no_instance_in_home_regions']
        return sent, writer.status, problem, seconds, counted

    sent, status, problem, seconds, counted = run_virtual(main())
    assert (sent, status, counted) == ([], 503, 1)
    assert '"ran": "no"' in problem
    assert seconds == 0


# Guards against requests of a lost home that reach another region, or that
# wait although the loss is known.
@pytest.mark.parametrize('idempotent', [True, False])
def test_lost_home_is_refused_at_once(*, idempotent: bool) -> None:
    async def main() -> tuple[list[str], list[int], float]:
        vm = a_bound_vm(route=frozenset({'muscat'}), idempotent=idempotent)

        async def time_out(request: InstanceRequest) -> InstanceAnswer:
            await asyncio.sleep(request.connect_timeout)
            raise ConnectFailedError('no answer')

        sent = record_sends(vm, time_out)
        lost = {
            item.address
            for item in vm.catalog.instances_by_id.values()
            if item.placement.region == 'muscat'
        }
        vm.instances.accepts = lambda address: address not in lost
        await vm.ask()
        await asyncio.sleep(1)
        before, started = len(sent), vm.clock.now()
        statuses = [(await vm.ask()).status for _ in range(5)]
        seconds = vm.clock.now() - started
        await vm.instance_paths.stop()
        assert regions_of(sent) == {'muscat'}
        return sent[before:], statuses, seconds

    sent, statuses, seconds = run_virtual(main())
    assert (sent, set(statuses), seconds) == ([], {503}, 0)


# Guards against a path to the homes that counts as lost for all requests.
def test_lost_home_leaves_other_requests() -> None:
    async def main() -> int:
        vm = a_bound_vm()
        homes = frozenset({'muscat'})
        vm.instance_paths.path_to(_DRAFTS, homes).is_lost = True
        return (await vm.ask()).status

    assert run_virtual(main()) == 200


def _peers_of(vm: EdgeVm):
    for zone in _ZONES:
        vm.fleet.add(a_vm(f'{zone}/vm', zone))
    return vm.path.sender.relay.peers


# Guards against a body that is relayed to a VM of another region, the own one
# included: the caller may be in a third one.
@pytest.mark.parametrize(
    ('homes', 'asked'),
    [
        (None, {'muscat', 'dhofar', 'sharqiyah'}),
        ({'muscat', 'dhofar'}, {'muscat', 'dhofar'}),
        ({'elsewhere'}, set()),
    ],
)
def test_relay_asks_vms_of_the_regions(homes, asked: set[str]) -> None:
    async def main() -> set[str]:
        peers = _peers_of(a_bound_vm())
        bound = homes and frozenset(homes)
        batches = peers._batches(_DRAFTS, bound)
        return {entry.placement.region for batch in batches for entry in batch}

    assert run_virtual(main()) == asked


# Guards against a VM that was found for other requests and is in no home.
def test_relay_uses_a_known_vm_only_in_the_regions() -> None:
    async def main() -> list[str | None]:
        peers = _peers_of(a_bound_vm())
        peers._peer_by_service[_DRAFTS] = RelayPeer(
            service=_DRAFTS,
            vm_id=VmId('dhofar-a/vm'),
            address='127.0.0.1:1',
            ticket='t',
            used_until=math.inf,
        )
        bounds = (None, frozenset({'dhofar'}), frozenset({'muscat'}))
        found = [await peers.find(_DRAFTS, bound) for bound in bounds]
        return [peer and peer.vm_id for peer in found]

    known = 'dhofar-a/vm'
    assert run_virtual(main()) == [known, known, None]
