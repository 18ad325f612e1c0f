"""Tests of settings from flags and environment variables."""

import pytest

from bronzewall.errors import SettingsError
from bronzewall.settings import load_settings

_ENVIRONMENT = {
    'BRONZEWALL_VM_ID': 'vm-1',
    'BRONZEWALL_REGION': 'muscat',
    'BRONZEWALL_ZONE': 'muscat-a',
    'BRONZEWALL_LISTEN': '127.0.0.1:8080',
    'BRONZEWALL_PEER_LISTEN': '127.0.0.1:8081',
    'BRONZEWALL_ADMIN_LISTEN': '127.0.0.1:8082',
    'BRONZEWALL_PLATFORM': 'http://127.0.0.1:9000',
    'HOME': '/root',
}


def test_flags_override_the_environment() -> None:
    """Guards against a flag that is silently ignored."""
    settings, origins = load_settings(
        flags={'notice_s': '2'},
        environment={**_ENVIRONMENT, 'BRONZEWALL_NOTICE_S': '3'},
    )
    sources = {origin.name: origin.source for origin in origins}
    assert settings.notice_s == 2
    assert sources['notice_s'] == 'flag'
    assert sources['zone'] == 'BRONZEWALL_ZONE'
    assert sources['log_level'] == 'default'


@pytest.mark.parametrize(
    ('change', 'message'),
    [
        ({'BRONZEWALL_ZON': 'x'}, 'did you mean BRONZEWALL_ZONE'),
        ({'BRONZEWALL_LISTEN': '8080'}, 'HOST:PORT'),
        ({'BRONZEWALL_NOTICE_S': 'soon'}, 'soon'),
        ({'BRONZEWALL_STOP_LIMIT_S': '0'}, 'more than 0'),
        ({'BRONZEWALL_VM_ID': ''}, 'vm_id must not be empty'),
        ({'BRONZEWALL_LOG_LEVEL': 'loud'}, 'log_level'),
    ],
)
def test_wrong_settings_are_errors(
    change: dict[str, str], message: str
) -> None:
    """Guards against a daemon that starts with invalid settings."""
    with pytest.raises(SettingsError, match=message):
        load_settings(flags={}, environment={**_ENVIRONMENT, **change})


def test_all_missing_settings_are_named() -> None:
    """Guards against an error that names only the first missing setting."""
    with pytest.raises(SettingsError) as caught:
        load_settings(flags={}, environment={})
    assert 'BRONZEWALL_VM_ID' in str(caught.value)
    assert 'BRONZEWALL_PLATFORM' in str(caught.value)
