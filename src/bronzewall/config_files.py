"""Reads and checks the operators' TOML files."""

import difflib
import itertools
import pathlib
import tomllib
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from bronzewall.config_model import (
    Account,
    Configuration,
    Instance,
    Route,
    Service,
)
from bronzewall.config_schema import (
    ACCOUNT_FIELDS,
    INSTANCE_FIELDS,
    ROUTE_FIELDS,
    SERVICE_FIELDS,
    Field,
    NotAllowedError,
)
from bronzewall.errors import ConfigurationFilesError, FileProblem
from bronzewall.toml_lines import LineIndex, TableLocation, index_lines
from bronzewall.types import (
    AccountId,
    InstanceId,
    Placement,
    RouteId,
    ServiceName,
)

ACCOUNTS_FILE = 'accounts.toml'
_Table = dict[str, Any]
_SERVICE_TABLES = ('service', 'instances', 'routes')
_ACCOUNT_TABLES = ('accounts',)


@attrs.define(kw_only=True)
class _Document:
    """One parsed file, with the problems found in any file so far."""

    path: str
    tables: dict[str, Any]
    lines: LineIndex
    problems: list[FileProblem]

    def report(
        self, location: TableLocation, key: str, found: Any, allowed: str
    ) -> None:
        """Record one problem.

        :param key: key within the table; empty for the table itself.
        :param found: the value in the file.
        :param allowed: description of the values that are valid.
        """
        self.problems.append(
            FileProblem(
                path=self.path,
                line=self.lines.find(location, key),
                key=f'{location}.{key}' if key else str(location),
                found=repr(found),
                allowed=allowed,
            )
        )

    def array(self, name: str) -> list[tuple[TableLocation, _Table]]:
        """Return the tables of an array with their locations.

        A missing or empty array, or a value that is no array, is reported
        as a problem.
        """
        found = self.tables.get(name, [])
        if not isinstance(found, list) or not found:
            location = TableLocation(name=name)
            self.report(location, '', found, f'at least one [[{name}]]')
            return []
        return [
            (TableLocation(name=name, index=number), table)
            for number, table in enumerate(found)
        ]


def load_directory(path: pathlib.Path) -> Configuration:
    """Return the configuration in a directory.

    Its generation is 0, because it has not been published.

    :param path: directory with one file per service and one
        ``accounts.toml``, at any depth.
    :raises ConfigurationFilesError: some files are not valid; the error
        lists all problems.
    """
    problems: list[FileProblem] = []
    files = sorted(path.rglob('*.toml')) if path.is_dir() else []
    documents = [_parse_file(file, path, problems) for file in files]
    services: list[Service] = []
    accounts: list[Account] = []
    for document in filter(None, documents):
        if pathlib.PurePath(document.path).name == ACCOUNTS_FILE:
            accounts.extend(_read_accounts(document))
        else:
            services.extend(_read_service(document))
    if not files:
        problems.append(_no_files_problem(path))
    if not problems:
        problems.extend(_cross_file_problems(services, accounts))
    if problems:
        raise ConfigurationFilesError(problems=problems)
    return Configuration(
        generation=0,
        services_by_name={service.name: service for service in services},
        accounts_by_id={account.account_id: account for account in accounts},
    )


def _no_files_problem(path: pathlib.Path) -> FileProblem:
    return FileProblem(
        path=str(path),
        line=None,
        key='directory',
        found='no TOML files',
        allowed='a directory with service files and accounts.toml',
    )


def _parse_file(
    file: pathlib.Path, base: pathlib.Path, problems: list[FileProblem]
) -> _Document | None:
    name = str(file.relative_to(base))
    try:
        content = file.read_text(encoding='utf-8')
        tables = tomllib.loads(content)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        problems.append(
            FileProblem(
                path=name,
                line=None,
                key='file',
                found=str(exc),
                allowed='a readable TOML file in UTF-8',
            )
        )
        return None
    return _Document(
        path=name, tables=tables, lines=index_lines(content), problems=problems
    )


def _read_accounts(document: _Document) -> Iterable[Account]:
    _reject_unknown_tables(document, _ACCOUNT_TABLES)
    accounts = []
    for location, table in document.array('accounts'):
        fields = _read_fields(document, location, table, ACCOUNT_FIELDS)
        if fields is not None:
            accounts.append(_account(fields))
    return accounts


def _read_service(document: _Document) -> Iterable[Service]:
    _reject_unknown_tables(document, _SERVICE_TABLES)
    location = TableLocation(name='service')
    table = document.tables.get('service')
    if not isinstance(table, dict):
        document.report(location, '', table, 'a table [service]')
        return []
    fields = _read_fields(document, location, table, SERVICE_FIELDS)
    instances = _read_instances(document)
    name = ServiceName(fields['name']) if fields else ServiceName('')
    routes = _read_routes(document, name)
    if fields is None:
        return []
    fields.pop('name')
    return [
        Service(
            name=name,
            instances_by_id={item.instance_id: item for item in instances},
            routes_by_id={route.route_id: route for route in routes},
            **fields,
        )
    ]


def _read_instances(document: _Document) -> list[Instance]:
    instances: list[Instance] = []
    for location, table in document.array('instances'):
        fields = _read_fields(document, location, table, INSTANCE_FIELDS)
        if fields is None:
            continue
        if any(item.instance_id == fields['id'] for item in instances):
            document.report(location, 'id', fields['id'], 'a unique id')
        instances.append(_instance(fields))
    return instances


def _read_routes(document: _Document, service: ServiceName) -> list[Route]:
    routes: list[Route] = []
    for location, table in document.array('routes'):
        fields = _read_fields(document, location, table, ROUTE_FIELDS)
        if fields is None:
            continue
        if fields['idempotent'] and 'idempotency_key' in fields:
            document.report(
                location,
                'idempotency_key',
                fields['idempotency_key'],
                'nothing, because the route is idempotent',
            )
        if not fields['idempotent'] and fields.get('hedge'):
            document.report(
                location,
                'hedge',
                found=True,
                allowed='false, because the route is not idempotent',
            )
        route = _route(service, fields)
        if any(other.route_id == route.route_id for other in routes):
            document.report(location, 'name', fields['name'], 'a unique name')
        routes.append(route)
    return routes


def _read_fields(
    document: _Document,
    location: TableLocation,
    table: dict[str, Any],
    known: Sequence[Field],
) -> dict[str, Any] | None:
    """Return the validated fields, or ``None`` if any is not valid."""
    problem_count = len(document.problems)
    names = [field.name for field in known]
    for key in table:
        if key not in names:
            document.report(location, key, key, _unknown_name_hint(key, names))
    fields: dict[str, Any] = {}
    for field in known:
        if field.name in table:
            try:
                fields[field.name] = field.check(table[field.name])
            except NotAllowedError as exc:
                document.report(
                    location, field.name, table[field.name], f'{exc}'
                )
        elif field.is_required:
            document.report(location, field.name, None, 'a value is required')
    return fields if len(document.problems) == problem_count else None


def _reject_unknown_tables(document: _Document, known: Sequence[str]) -> None:
    for name in document.tables:
        if name not in known:
            document.report(
                TableLocation(name=name),
                '',
                name,
                _unknown_name_hint(name, known),
            )


def _unknown_name_hint(name: str, known: Sequence[str]) -> str:
    closest = difflib.get_close_matches(name, known, n=1, cutoff=0)
    return f'unknown name; the nearest known one is {closest[0]}'


@attrs.frozen(kw_only=True)
class _UniqueValue:
    """A value that must be unique in the whole configuration.

    :param kind: what the value is, such as ``route``.
    :param owner: the service, route or account that uses it.
    """

    kind: str
    found: str
    owner: str


def _cross_file_problems(
    services: Iterable[Service], accounts: Iterable[Account]
) -> Iterable[FileProblem]:
    """Yield a problem for each value that has more than one owner."""
    owners: dict[tuple[str, str], str] = {}
    unique_values = itertools.chain(
        _service_unique_values(services), _account_unique_values(accounts)
    )
    for unique_value in unique_values:
        other = owners.setdefault(
            (unique_value.kind, unique_value.found), unique_value.owner
        )
        if other != unique_value.owner:
            yield FileProblem(
                path=unique_value.owner,
                line=None,
                key=unique_value.kind,
                found=unique_value.found,
                allowed=f'one that is not used by {other}',
            )


def _service_unique_values(
    services: Iterable[Service],
) -> Iterable[_UniqueValue]:
    for position, service in enumerate(services):
        yield _UniqueValue(
            kind='service', found=service.name, owner=f'service {position}'
        )
        for route in service.routes_by_id.values():
            yield from _route_unique_values(route)


def _route_unique_values(route: Route) -> Iterable[_UniqueValue]:
    for method in sorted(route.methods):
        yield _UniqueValue(
            kind='route', found=f'{method} {route.path}', owner=route.route_id
        )


def _account_unique_values(
    accounts: Iterable[Account],
) -> Iterable[_UniqueValue]:
    for position, account in enumerate(accounts):
        owner = f'account {position} ({account.account_id})'
        yield _UniqueValue(
            kind='account id', found=account.account_id, owner=owner
        )
        for digest in account.key_digests:
            yield _UniqueValue(
                kind='key digest', found=digest.hex(), owner=owner
            )


def _account(fields: dict[str, Any]) -> Account:
    return Account(
        account_id=AccountId(fields['id']),
        rate=fields['rate'],
        burst=fields['burst'],
        key_digests=tuple(
            bytes.fromhex(digest) for digest in fields['key_digests']
        ),
    )


def _instance(fields: dict[str, Any]) -> Instance:
    values = dict(fields)
    placement = Placement(region=values.pop('region'), zone=values.pop('zone'))
    return Instance(
        instance_id=InstanceId(values.pop('id')), placement=placement, **values
    )


def _route(service: ServiceName, fields: dict[str, Any]) -> Route:
    values = dict(fields)
    name = values.pop('name')
    return Route(
        route_id=RouteId(f'{service}/{name}'),
        service=service,
        methods=frozenset(values.pop('methods')),
        **values,
    )
