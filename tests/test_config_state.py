"""Tests of the configuration state and its look-up tables."""

import attrs
import cbor2
import pytest
from builders import a_configuration, a_route, a_service, an_account

from bronzewall.config_state import ConfigState, state_of, update_lookup_tables
from bronzewall.errors import SnapshotError


def test_packed_accounts_list_accounts_only() -> None:
    """Guards against reading the parts of services as accounts.

    Each quota pool iterates over the accounts; an error in that iteration
    left the fleet without quota shares.
    """
    accounts = [
        an_account('gulf-daily'),
        an_account('oman-weekly', key_digests=(b'b' * 32,)),
    ]
    configuration = a_configuration(accounts=accounts)
    new = state_of(configuration)
    in_force = update_lookup_tables(
        previous=None, old=ConfigState(), new=new, changed=new.entries_by_part
    )
    packed = in_force.configuration.accounts_by_id
    assert dict(packed) == {item.account_id: item for item in accounts}
    assert len(packed) == 2


def test_service_with_an_unknown_form_is_refused_at_once() -> None:
    """Guards against a service that fails only at its first request.

    Services are decoded on access, so a VM must refuse a generation with a
    service that it cannot decode.
    """
    state = state_of(a_configuration())
    part = 'service/drafts'
    body = cbor2.dumps({**cbor2.loads(state.bodies_by_part[part]), 'new': 1})
    bodies = {**state.bodies_by_part, part: body}
    newer = attrs.evolve(state, bodies_by_part=bodies)
    with pytest.raises(SnapshotError, match='not a service'):
        update_lookup_tables(
            previous=None,
            old=ConfigState(),
            new=newer,
            changed=newer.entries_by_part,
        )


def test_changed_service_replaces_its_routes() -> None:
    """Guards against routes of an older generation that stay in use."""
    first = state_of(a_configuration())
    moved = a_service(routes=[a_route(path='/moved/*')])
    second = state_of(a_configuration(generation=2, services=[moved]))
    parts = first.entries_by_part
    in_force = update_lookup_tables(
        previous=None, old=ConfigState(), new=first, changed=parts
    )
    assert in_force.routes.find(method='GET', path='/drafts/1')
    in_force = update_lookup_tables(
        previous=in_force, old=first, new=second, changed=parts
    )
    assert not in_force.routes.find(method='GET', path='/drafts/1')
    assert in_force.routes.find(method='GET', path='/moved/1')
    service = in_force.configuration.services_by_name[moved.name]
    assert service == moved
