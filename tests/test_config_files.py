"""Tests that every mistake in operators' files is reported and located."""

import pathlib

import pytest

from bronzewall.config_files import load_directory
from bronzewall.errors import ConfigurationFilesError

_EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'

_SERVICE = """[service]
name = "drafts"

[[instances]]
id = "drafts-1"
address = "127.0.0.1:8080"
region = "muscat"
zone = "muscat-a"

[[routes]]
name = "read"
path = "/drafts/*"
methods = ["GET"]
idempotent = true
"""
_ACCOUNTS = f"""[[accounts]]
id = "gulf-daily"
rate = 50
burst = 20
key_digests = ["{'a' * 64}"]
"""


def _problems(
    folder: pathlib.Path, service: str, accounts: str = _ACCOUNTS
) -> list[str]:
    (folder / 'drafts.toml').write_text(service)
    (folder / 'accounts.toml').write_text(accounts)
    with pytest.raises(ConfigurationFilesError) as caught:
        load_directory(folder)
    return [str(problem) for problem in caught.value.problems]


@pytest.mark.parametrize('deployment', ['trust', 'wrzosek'])
def test_examples_are_valid(deployment: str) -> None:
    """Guards against examples that the checks reject."""
    configuration = load_directory(_EXAMPLES / deployment)
    assert len(configuration.services_by_name) == 4
    assert len(configuration.accounts_by_id) == 8


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('name = "drafts"', 'nam = "drafts"', 'drafts.toml:2: service[0].nam'),
        ('"127.0.0.1:8080"', '"here"', 'drafts.toml:6: instances[0].address'),
        ('["GET"]', '["FETCH"]', 'drafts.toml:13: routes[0].methods'),
        ('= true', '= "yes"', 'drafts.toml:14: routes[0].idempotent'),
        ('= true', '= true\nhedge = 1', 'drafts.toml:15: routes[0].hedge'),
        (
            'idempotent = true',
            'idempotent = false\nhedge = true',
            'drafts.toml:15: routes[0].hedge',
        ),
        ('[[routes]]', '[[route]]', 'drafts.toml:10: route[0]'),
        ('[service]', '[service', 'drafts.toml: file'),
        ('zone = "muscat-a"', '', 'drafts.toml:4: instances[0].zone'),
    ],
)
def test_each_mistake_is_reported_with_its_location(
    tmp_path: pathlib.Path, old: str, new: str, expected: str
) -> None:
    """Guards against mistakes that are accepted or hard to find."""
    problems = _problems(tmp_path, _SERVICE.replace(old, new, 1))
    assert any(problem.startswith(expected) for problem in problems), problems


def test_all_mistakes_are_reported_at_once(tmp_path: pathlib.Path) -> None:
    """Guards against reporting only the first mistake of each publish."""
    service = (
        _SERVICE.replace('= true', '= 1')
        .replace('"/drafts/*"', '"drafts"')
        .replace('[service]', '[service]\nflor = 0.5')
    )
    accounts = _ACCOUNTS.replace('50', '-1').replace('20', '0.5')
    problems = _problems(tmp_path, service, accounts)
    assert len(problems) == 5
    assert any('nearest known one is floor' in text for text in problems)


def test_one_key_for_two_accounts_is_a_mistake(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a request that is attributed to another account."""
    second = _ACCOUNTS.replace('gulf-daily', 'oman-weekly')
    problems = _problems(tmp_path, _SERVICE, _ACCOUNTS + second)
    assert ['key digest' in text for text in problems] == [True]
