"""Messages between VMs about the rates of client accounts."""

from collections.abc import Mapping

import attrs

from bronzewall.messages import message
from bronzewall.types import AccountId


@message('ask', label='Ask')
@attrs.frozen(kw_only=True)
class GrantRequest:
    """Asks a pool for permission to admit requests.

    :param ask_id: unique over all incarnations of the sender.
    :param counts: number of waiting requests by account.
    :param relayed: the sender is an empty pool; do not ask further pools.
    """

    ask_id: int
    counts: Mapping[AccountId, int]
    relayed: bool = False


@message('grant')
@attrs.frozen(kw_only=True)
class Grant:
    """One part of the answer to an ask.

    :param part: distinguishes the parts, so that a duplicate is ignored.
    :param counts: requests granted by account.
    :param delays: seconds until the next token, by account of which all
        further requests are refused.
    :param lifetime: seconds, counted from when the ask was sent, in
        which the grants must be used.
    :param is_home: false if the sender has no pools; the rest is empty.
    """

    ask_id: int
    part: int
    counts: Mapping[AccountId, int]
    delays: Mapping[AccountId, float]
    lifetime: float
    is_home: bool = True


@message('renew', label='Renew')
@attrs.frozen(kw_only=True)
class LoanRenewal:
    """A pool home asks a VM to lend it rights or to renew its loans.

    :param epoch: grows each time a VM becomes the home of a pool.
    :param stamp: the home's clock before sending; the loan counts from it.
    :param adopted: number of the last statement of this lender in force.
    :param demands: requests a second by account in the home's region.
    """

    epoch: int
    stamp: float
    adopted: int
    demands: Mapping[AccountId, float]


@message('lend', label='Lend')
@attrs.frozen(kw_only=True)
class LoanOffer:
    """States everything that the sender lends to a pool home.

    It replaces older statements, so a duplicate or a reordered statement
    changes nothing.

    :param epoch: copied from the renewal.
    :param stamp: copied from the renewal.
    :param number: grows with each statement of the lender.
    :param length: seconds from ``stamp`` until the loan ends.
    :param rates: rate share by account, requests a second.
    :param bursts: burst share by account.
    """

    epoch: int
    stamp: float
    number: int
    length: float
    rates: Mapping[AccountId, float]
    bursts: Mapping[AccountId, float]


@message('return', label='ReturnLoans')
@attrs.frozen(kw_only=True)
class LoanReturn:
    """A pool home holds nothing any more under this epoch."""

    epoch: int


@message('slots_given')
@attrs.frozen(kw_only=True)
class SlotsGiven:
    """The sender handed slots over to the receiver in the table.

    :param is_stopping: the sender stops and takes no slots.
    """

    is_stopping: bool = False
