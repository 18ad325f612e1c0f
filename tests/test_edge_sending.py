"""Tests of attempts, retries and refusals of the edge."""

import asyncio

import pytest
from crashing_instances import CrashingInstances
from edge_builders import (
    NAMES,
    a_caller_request,
    an_edge_account,
    an_edge_configuration,
    an_edge_instance,
    an_edge_route,
    an_edge_vm,
)

from bronzewall.edge.model import TrafficShare
from bronzewall.errors import (
    ConnectFailedError,
    UpstreamBrokenError,
    UpstreamShedError,
    UpstreamTimeoutError,
    WrongInstanceError,
)
from bronzewall.standins.memory_store import answer_of
from bronzewall.standins.virtual_time import run_virtual

NOT_RUN_STATUSES = (408, 421, 429, 503)
UNSAFE = an_edge_route(idempotent=False)


def failing(error):
    async def behave(_request):
        raise error

    return behave


def answering(status):
    async def behave(request):
        return answer_of(request, status=status)

    return behave


async def hang(request):
    await asyncio.sleep(request.timeout)
    raise UpstreamTimeoutError('silent')


@pytest.mark.parametrize(
    ('error', 'status', 'sends'),
    [
        (ConnectFailedError('refused'), 200, 2),
        (UpstreamShedError('full'), 200, 2),
        (WrongInstanceError('moved'), 200, 2),
        (UpstreamBrokenError('reset'), 502, 1),
        (UpstreamTimeoutError('late'), 504, 1),
    ],
)
def test_non_idempotent_is_sent_again_only_if_not_run(
    error, status, sends
) -> None:
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(
            an_edge_instance('i-1'),
            an_edge_instance('i-2'),
            configuration=an_edge_configuration(routes=(UNSAFE,)),
        )
        seen = []

        async def first_fails(request):
            seen.append(request)
            if len(seen) == 1:
                raise error
            return answer_of(request)

        for name in ('i-1', 'i-2'):
            vm.instances.behaviours_by_id[name] = first_fails
        writer = await vm.ask()
        assert writer.status == status
        assert len(vm.instances.requests) == sends

    run_virtual(main())


@pytest.mark.parametrize(
    'error',
    [
        UpstreamBrokenError('reset'),
        UpstreamTimeoutError('late'),
    ],
)
@pytest.mark.parametrize('idempotent', [True, False])
def test_no_not_run_status_after_a_run(error, idempotent) -> None:
    # Guards against a not-run status for a request that an instance may have
    # run: the first attempt breaks or times out and the last one is rejected.
    async def main() -> None:
        vm = an_edge_vm()
        route = an_edge_route(idempotent=idempotent)
        vm.serve_alone(
            an_edge_instance('i-1'),
            an_edge_instance('i-2'),
            configuration=an_edge_configuration(routes=(route,)),
        )
        seen = []

        async def first_breaks_then_sheds(request):
            seen.append(request)
            raise error if len(seen) == 1 else UpstreamShedError('full')

        for name in ('i-1', 'i-2'):
            vm.instances.behaviours_by_id[name] = first_breaks_then_sheds
        writer = await vm.ask()
        assert writer.status not in NOT_RUN_STATUSES
        assert writer.status >= 500

    run_virtual(main())


def test_rejection_by_all_is_not_run_with_retry_after() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone()
        vm.instances.behaviours_by_id['i-1'] = failing(
            UpstreamShedError('full')
        )
        writer = await vm.ask()
        assert writer.status == 503
        assert float(writer.header('Retry-After')) > 0

    run_virtual(main())


def test_idempotent_failure_is_retried_elsewhere() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(an_edge_instance('i-1'), an_edge_instance('i-2'))
        vm.instances.behaviours_by_id['i-1'] = answering(500)
        statuses = [(await vm.ask()).status for _ in range(4)]
        assert set(statuses) == {200}

    run_virtual(main())


def test_error_answer_is_delivered_when_no_retry_is_left() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(an_edge_instance('i-1'), an_edge_instance('i-2'))
        for name in ('i-1', 'i-2'):
            vm.instances.behaviours_by_id[name] = answering(500)
        writer = await vm.ask()
        assert writer.status == 500
        assert len(vm.instances.requests) == 2

    run_virtual(main())


@pytest.mark.parametrize('status', NOT_RUN_STATUSES)
def test_not_run_status_of_an_instance_is_not_passed_on(status) -> None:
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(configuration=an_edge_configuration(routes=(UNSAFE,)))
        vm.instances.behaviours_by_id['i-1'] = answering(status)
        assert (await vm.ask()).status == 502

    run_virtual(main())


def test_overdue_request_is_hedged() -> None:
    # An instance that does not answer must not delay the caller: an idempotent
    # request is also sent to a second instance once it is overdue.
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(an_edge_instance('i-1'), an_edge_instance('i-2'))
        for name in ('i-1', 'i-2'):
            await vm.ask()
        vm.instances.behaviours_by_id['i-1'] = hang
        started = vm.clock.now()
        writers = [await vm.ask() for _ in range(2)]
        assert [writer.status for writer in writers] == [200, 200]
        assert vm.clock.now() - started < 2

    run_virtual(main())


def test_final_answer_at_the_timeout_of_the_route() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        route = an_edge_route(timeout=1.0, idempotent=False)
        vm.serve_alone(configuration=an_edge_configuration(routes=(route,)))
        vm.instances.behaviours_by_id['i-1'] = hang
        started = vm.clock.now()
        writer = await vm.ask()
        assert writer.status == 504
        assert vm.clock.now() - started <= 1.25

    run_virtual(main())


def test_deadline_sent_to_an_instance_is_the_remaining_time() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(an_edge_instance('i-1'), an_edge_instance('i-2'))

        async def slow_failure(request):
            await asyncio.sleep(0.3)
            return answer_of(request, status=500)

        for name in ('i-1', 'i-2'):
            vm.instances.behaviours_by_id[name] = slow_failure
        await vm.ask()
        waits = [
            int(dict(sent.headers)[NAMES.deadline_ms])
            for sent in vm.instances.requests
        ]
        assert waits[0] <= 2000
        assert waits[1] <= 1700

    run_virtual(main())


def test_caller_headers_cannot_forge_an_account() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone()
        request = a_caller_request()
        await vm.ask(
            a_caller_request(
                headers=(
                    *request.headers,
                    (NAMES.account, 'other'),
                    (NAMES.target_instance, 'i-9'),
                )
            )
        )
        sent = vm.instances.requests[0].headers
        by_name = {name: text for name, text in sent}
        assert [text for name, text in sent if name == NAMES.account] == [
            'gulf-daily'
        ]
        assert by_name[NAMES.target_instance] == 'i-1'
        assert 'Authorization' not in by_name
        assert by_name['Host'] == 'drafts.example'

    run_virtual(main())


@pytest.mark.parametrize(
    ('headers', 'status'),
    [
        ((('Host', 'drafts.example'),), 401),
        (
            (('Host', 'drafts.example'), ('Authorization', 'Bearer no')),
            401,
        ),
        ((('Host', 'other.example'),), 404),
    ],
)
def test_refusals_of_unknown_keys_and_routes(headers, status) -> None:
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone()
        assert (await vm.ask(a_caller_request(headers=headers))).status == (
            status
        )

    run_virtual(main())


def test_vm_with_stale_keys_refuses_as_not_run() -> None:
    # A VM with stale keys must not deny a route or key that may have been added
    # since.
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone()
        vm.freshness.confirmed_at = vm.clock.now() - 10
        headers = (('Host', 'other.example'),)
        for request in (a_caller_request(), a_caller_request(headers=headers)):
            writer = await vm.ask(request)
            assert writer.status == 503
        assert not vm.instances.requests

    run_virtual(main())


def test_key_withdrawn_before_a_retry() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        vm.serve_alone(an_edge_instance('i-1'), an_edge_instance('i-2'))

        async def withdrawn_meanwhile(request):
            vm.directory.accept(
                an_edge_configuration(2, accounts=()), raw=b'2', source='test'
            )
            raise ConnectFailedError('refused')

        for name in ('i-1', 'i-2'):
            vm.instances.behaviours_by_id[name] = withdrawn_meanwhile
        assert (await vm.ask()).status == 401
        assert len(vm.instances.requests) == 1

    run_virtual(main())


def test_token_of_a_refused_request_is_refunded() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        account = an_edge_account(rate=0.001, burst=1)
        vm.serve_alone(configuration=an_edge_configuration(accounts=(account,)))
        vm.instances.behaviours_by_id['i-1'] = failing(
            UpstreamShedError('full')
        )
        assert (await vm.ask()).status == 503
        vm.instances.behaviours_by_id.clear()
        assert (await vm.ask()).status == 200

    run_virtual(main())


def test_traffic_split_follows_the_weights() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        shares = (
            TrafficShare(service='drafts', weight=90),
            TrafficShare(service='drafts-next', weight=10),
        )
        vm.serve_alone(
            an_edge_instance('i-1'),
            an_edge_instance('n-1', service='drafts-next'),
            configuration=an_edge_configuration(
                routes=(an_edge_route(traffic_split=shares),)
            ),
        )
        for _ in range(300):
            await vm.ask()
        sent = [item.instance_id for item in vm.instances.requests]
        assert 0.05 < sent.count('n-1') / len(sent) < 0.15

    run_virtual(main())


def test_crashing_request_is_refused_after_three_instances() -> None:
    async def main() -> None:
        vm = an_edge_vm()
        names = [f'i-{number}' for number in range(6)]
        vm.serve_alone(*[an_edge_instance(name) for name in names])
        crashing = CrashingInstances()
        crashing.install(vm, names)
        for _ in range(5):
            await vm.ask()
        assert len(crashing.reached) <= 4

    run_virtual(main())


@pytest.mark.parametrize(
    ('delay', 'status', 'waited'), [(0.3, 200, 0.3), (5, 503, 0.6)]
)
def test_request_to_a_starting_vm(delay, status, waited) -> None:
    # Pattern: all VMs restart after a power loss. Requests that arrive before
    # the configuration is read wait for it, and are refused if it is not read
    # soon.
    async def main() -> None:
        vm = an_edge_vm()
        asyncio.get_running_loop().call_later(delay, vm.serve_alone)
        vm.instances.response_time = 0
        writer = await vm.ask()
        assert writer.status == status
        assert vm.clock.now() == pytest.approx(waited, abs=0.05)

    run_virtual(main())
