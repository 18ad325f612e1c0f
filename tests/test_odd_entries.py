"""Odd entries, messages and headers concern only themselves."""

import pytest

from bronzewall.adapters.tcp_probe import (
    accepts_connections,
    refuses_connections,
)
from bronzewall.config_model import Instance
from bronzewall.errors import AddressError
from bronzewall.types import InstanceId, Placement
from bronzewall.wire_checks import (
    is_plain_text,
    shown,
    split_address,
    whole_number,
)

NO_ADDRESSES = (
    '',
    ':80',
    '80',
    'h',
    'h:',
    'h:0',
    'h:00',
    'h:65536',
    'h:99999',
    'h:-1',
    'h:+1',
    'h:0x50',
    'h:8_0',
    'h:²',
    'h:80 ',
    'h:80\n',
    f'h:{"9" * 5000}',
    'a..b:80',
    '.:80',
    f'{"a" * 64}:80',
    f'{"a." * 200}b:80',
    '::1:80',
    '[::1:80',
    '[h]:80',
    '[fe80::1%eth0]:80',
    'h h:80',
    'h/p:80',
    'h?q:80',
    'h#f:80',
    'u@h:80',
    'h\0:80',
    'h\r\nX: y:80',
    'h\ud800:80',
    'é:80',
)


@pytest.mark.parametrize('address', NO_ADDRESSES)
def test_no_address(address: str) -> None:
    with pytest.raises(AddressError) as raised:
        split_address(address)
    assert len(str(raised.value)) < 200


@pytest.mark.parametrize(
    ('address', 'host', 'port'),
    [
        ('10.0.0.1:8080', '10.0.0.1', 8080),
        ('drafts_1.example.:1', 'drafts_1.example.', 1),
        ('h:065535', 'h', 65535),
        ('[::1]:80', '::1', 80),
    ],
)
def test_address(address: str, host: str, port: int) -> None:
    assert split_address(address) == (host, port)


@pytest.mark.parametrize('address', ['127.0.0.1:99999', 'a..b:80', 'h\0:80'])
async def test_probe_of_no_address_fails_like_any_other(address: str) -> None:
    # Guards against a check of the path to a service that ends by an exception
    # and leaves the path lost for the rest of the process.
    assert not await accepts_connections(address)
    instance = Instance(
        instance_id=InstanceId('i-1'),
        address=address,
        placement=Placement(region='muscat', zone='muscat-a'),
        slots=1,
    )
    assert await refuses_connections(instance)


@pytest.mark.parametrize(
    ('text', 'found'),
    [
        ('0', 0),
        ('007', 7),
        ('7', 7),
        ('101', 100),
        ('9' * 5000, 100),
        ('0' * 5000, 0),
        ('', None),
        ('-1', None),
        ('1.5', None),
        ('²', None),
        ('٣', None),
        (' 1', None),
    ],
)
def test_whole_number(text: str, found: int | None) -> None:
    # Guards against ``int`` on texts that ``isdigit`` takes and ``int`` not.
    assert whole_number(text, limit=100) == found


def test_plain_text() -> None:
    assert is_plain_text('é b', limit=3)
    for text in ('', 'abcd', 'a\n', '\ud800', '\0', '\u2028'):
        assert not is_plain_text(text, limit=3)


def test_any_value_is_shown_in_short() -> None:
    # Guards against log lines as long as an entry, and against the repr of a
    # deeply nested value or a long number, which raises an exception.
    deep: list = []
    for _ in range(100_000):
        deep = [deep]
    for value in (deep, 'a' * 10**6, 10**5000, {1: {2: ['x' * 10**6, 0]}}):
        assert len(shown(value)) < 150
    assert shown('x') == "'x'"
