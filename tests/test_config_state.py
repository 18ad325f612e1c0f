"""The configuration as packed parts."""

from builders import a_configuration, an_account

from bronzewall.config_state import put_in_force, state_of


def test_packed_accounts_list_accounts_only() -> None:
    """Guards against reading the parts of services as accounts.

    Every pool of rights iterates over the accounts; an error there left
    the fleet without rights.
    """
    accounts = [
        an_account('gulf-daily'),
        an_account('oman-weekly', key_digests=(b'b' * 32,)),
    ]
    configuration = a_configuration(accounts=accounts)
    empty = state_of(a_configuration(generation=0))
    new = state_of(configuration)
    in_force = put_in_force(
        previous=None, old=empty, new=new, changed=new.entries_by_part
    )
    packed = in_force.configuration.accounts_by_id
    assert dict(packed) == {item.account_id: item for item in accounts}
    assert len(packed) == 2
