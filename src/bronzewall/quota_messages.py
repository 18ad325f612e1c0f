"""Messages between VMs about the quota shares of client accounts."""

from collections.abc import Mapping

import attrs

from bronzewall.messages import message
from bronzewall.types import AccountId


@message('ask', label='Ask')
@attrs.frozen(kw_only=True)
class GrantRequest:
    """Requests permission from a pool to admit requests.

    :param ask_id: unique over all incarnations of the sender.
    :param counts: number of waiting requests by account.
    :param relayed: whether the sender is an empty pool; the receiver then
        requests nothing from other pools.
    """

    ask_id: int
    counts: Mapping[AccountId, int]
    relayed: bool = False


@message('grant')
@attrs.frozen(kw_only=True)
class Grant:
    """One part of the answer to a grant request.

    :param part: number of the part, by which duplicates are ignored.
    :param counts: requests granted by account.
    :param delays: seconds until the next token, by account of which all
        further requests are refused.
    :param lifetime: seconds from sending the request within which the
        grants must be used.
    :param is_home: whether the sender is a coordinator; if not, the other
        fields are empty.
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
    """Requests new or renewed loans from a VM for a pool coordinator.

    :param epoch: incremented each time a VM becomes a coordinator.
    :param stamp: the coordinator's clock before sending, from which the
        length of the loan counts.
    :param adopted: highest number of this lender's offers that the
        coordinator confirms.
    :param demands: requests a second by account in the coordinator's
        region.
    """

    epoch: int
    stamp: float
    adopted: int
    demands: Mapping[AccountId, float]


@message('lend', label='Lend')
@attrs.frozen(kw_only=True)
class LoanOffer:
    """Loan snapshot: everything that the sender lends to a coordinator.

    It replaces older snapshots, so duplicated or reordered messages have
    no effect.

    :param epoch: copied from the renewal.
    :param stamp: copied from the renewal.
    :param number: incremented with each offer of the lender.
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
    """Announces that a coordinator returned all loans of an epoch."""

    epoch: int


@message('slots_given')
@attrs.frozen(kw_only=True)
class SlotsGiven:
    """Announces that the sender handed slots over to the receiver.

    :param is_stopping: whether instead the sender stops and takes no more
        slots.
    """

    is_stopping: bool = False
