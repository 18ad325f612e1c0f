"""Cost of one change on one VM at the size expected in two years."""

import random
import statistics
import time
from typing import Any

import attrs
from harness import Target, run_bench

from bronzewall import config_codec, config_state
from bronzewall.config_model import (
    Account,
    Configuration,
    Instance,
    Route,
    Service,
)
from bronzewall.types import (
    AccountId,
    InstanceId,
    Placement,
    RouteId,
    ServiceName,
)

_ACCOUNTS = 640_000
_SERVICES = 4500
_INSTANCES_PER_SERVICE = 44
_ROUTES_PER_SERVICE = 15
_CHANGES_PER_S = 12_000 / 86_400
_DIGEST_BYTES = 32
_MS_PER_S = 1000
_REPEATS = 7
# A daemon may use 1.8 % of a core for all control-plane work; a tenth of
# that is for applying changes.
_CORE_SHARE = 0.0018
_TARGETS = (
    Target(figure='bytes_per_key', at_most=60),
    Target(figure='withdrawal.core_share', at_most=_CORE_SHARE),
    Target(figure='service_change.core_share', at_most=_CORE_SHARE),
)


Current = tuple[config_state.ConfigState, config_state.ConfigurationInForce]


def _measure(seed: int) -> dict[str, Any]:
    """Return sizes and the cost of a key withdrawal and a service change."""
    rng = random.Random(seed)
    account_list = [_account(rng, number) for number in range(_ACCOUNTS)]
    accounts = {account.account_id: account for account in account_list}
    services = [_service(number) for number in range(_SERVICES)]
    old = config_state.state_of(
        Configuration(
            generation=1,
            services_by_name={service.name: service for service in services},
            accounts_by_id=accounts,
        )
    )
    in_force = config_state.update_lookup_tables(
        previous=None,
        old=config_state.ConfigState(),
        new=old,
        changed=old.entries_by_part,
    )
    current = (old, in_force)
    withdrawals, current = _apply_all(
        current, [_withdraw_key(old, accounts, no) for no in range(_REPEATS)]
    )
    service_changes, current = _apply_all(
        current, [_change_service(service) for service in services[:_REPEATS]]
    )
    return {
        'keys': len(in_force.keys),
        'bytes_per_key': round(in_force.keys.size_bytes() / _ACCOUNTS, 1),
        'configuration_mb': round(
            sum(map(len, old.bodies_by_part.values())) / 1e6, 1
        ),
        'withdrawal': withdrawals,
        'service_change': service_changes,
    }


def _withdraw_key(
    state: config_state.ConfigState,
    accounts: dict[AccountId, Account],
    number: int,
) -> dict[str, bytes]:
    """Return the configuration part of an account with its key removed."""
    account_id = AccountId(f'account-{number:06}')
    body = state.bodies_by_part[config_codec.account_part(account_id)]
    return config_codec.encode_accounts(
        attrs.evolve(item, key_digests=())
        if item.account_id == account_id
        else accounts[item.account_id]
        for item in config_codec.decode_accounts(body)
    )


def _change_service(service: Service) -> dict[str, bytes]:
    part = config_codec.service_part(service.name)
    changed = attrs.evolve(service, queue_limit=7)
    return {part: config_codec.encode_service(changed)}


def _apply_all(
    current: Current, changes: list[dict[str, bytes]]
) -> tuple[dict[str, float], Current]:
    """Apply changes in sequence and return their size and CPU time."""
    seconds = []
    for bodies_by_part in changes:
        elapsed, current = _apply(current, bodies_by_part)
        seconds.append(elapsed)
    size = sum(map(len, changes[0].values()))
    median = statistics.median(seconds)
    return {
        'bytes': size,
        'bytes_per_s': round(size * _CHANGES_PER_S, 1),
        'ms': round(median * _MS_PER_S, 2),
        'core_share': round(median * _CHANGES_PER_S, 6),
    }, current


def _apply(
    current: Current, bodies_by_part: dict[str, bytes]
) -> tuple[float, Current]:
    old, in_force = current
    generation = old.generation + 1
    changes = {
        part: config_codec.PartEntry(
            generation=generation, digest=config_codec.body_digest(body)
        )
        for part, body in bodies_by_part.items()
    }
    digest = config_codec.manifest_digest({**old.entries_by_part, **changes})
    started = time.process_time()
    new = old.with_changes(
        generation=generation,
        digest=digest,
        changes=changes,
        bodies_by_part=bodies_by_part,
    )
    in_force = config_state.update_lookup_tables(
        previous=in_force, old=old, new=new, changed=changes
    )
    return time.process_time() - started, (new, in_force)


def _account(rng: random.Random, number: int) -> Account:
    return Account(
        account_id=AccountId(f'account-{number:06}'),
        rate=50.0,
        burst=20,
        key_digests=(rng.randbytes(_DIGEST_BYTES),),
    )


def _service(number: int) -> Service:
    name = ServiceName(f'service-{number}')
    placement = Placement(region='muscat', zone='muscat-a')
    instances = [
        Instance(
            instance_id=InstanceId(f'{name}-{place}'),
            address='127.0.0.1:9',
            placement=placement,
        )
        for place in range(_INSTANCES_PER_SERVICE)
    ]
    routes = [
        Route(
            route_id=RouteId(f'{name}/{place}'),
            service=name,
            path=f'/{name}/{place}/*',
            methods=frozenset({'GET'}),
            idempotent=True,
        )
        for place in range(_ROUTES_PER_SERVICE)
    ]
    return Service(
        name=name,
        instances_by_id={item.instance_id: item for item in instances},
        routes_by_id={route.route_id: route for route in routes},
    )


if __name__ == '__main__':
    run_bench(name='config_scale', measure=_measure, targets=_TARGETS)
