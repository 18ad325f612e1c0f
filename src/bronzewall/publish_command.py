"""The ``publish`` command, which publishes operators' files."""

import getpass
import json
import pathlib
import uuid
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp
import attrs
from cleo.commands.command import Command
from cleo.helpers import argument, option

from bronzewall.adapters.admin_client import AdminClient
from bronzewall.adapters.platform_http import PlatformClient, PlatformVmList
from bronzewall.adapters.system_clock import SystemClock
from bronzewall.command_support import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_UNKNOWN,
    JSON_OPTION,
    PLATFORM_OPTION,
    platform_url,
    with_session,
)
from bronzewall.config_files import load_directory
from bronzewall.config_model import Configuration
from bronzewall.errors import (
    PublishConflictError,
    SettingsError,
    StoreUnavailableError,
)
from bronzewall.publication import (
    Publication,
    publish,
    read_base,
)
from bronzewall.publication_check import (
    Acceptance,
    InForceReport,
    wait_in_force,
)
from bronzewall.publication_rows import read_generation_row
from bronzewall.types import ServiceName, VmId

_DEFAULT_WAIT_S = '15'
_DETAILS_BY_RESULT = {
    Acceptance.ACCEPTED: '',
    Acceptance.STORED: 'stored, but not yet in force everywhere',
    Acceptance.UNKNOWN: 'publish again with this id to find out',
}


class PublishCommand(Command):
    """Publish the files of a directory."""

    name = 'publish'
    description = 'Check files, store them and wait until they are in force.'
    help = """
Stores each service of the directory, and all accounts if the directory has
an accounts.toml. Services that are not in the directory stay as they are.

The result is one of: accepted (stored, and in force on every VM that serves
requests), stored (in the store, but some VMs have not confirmed it yet),
conflict (another operator published the same service first), unavailable
(nothing was published), unknown (the store's answer was lost). Publishing
again with the same --id is safe and determines the outcome.

With --base FILE the publish is refused if somebody published one of its
services after the file was written; each success writes the file anew.

Exit codes: 0 accepted, 1 conflict, unavailable or mistakes in the files,
2 wrong usage, 3 stored or unknown."""
    arguments = [argument('path', 'Directory with the files.')]
    options = [
        PLATFORM_OPTION,
        JSON_OPTION,
        option('id', None, 'Publication id of an earlier attempt.', flag=False),
        option('publisher', None, 'Name shown on a conflict.', flag=False),
        option('base', None, 'File with the row versions.', flag=False),
        option('remove', None, 'Service to remove.', flag=False, multiple=True),
        option(
            'wait',
            None,
            'Seconds to wait until it is in force.',
            flag=False,
            default=_DEFAULT_WAIT_S,
        ),
    ]

    def handle(self) -> int:
        """Publish and print the result."""
        configuration = load_directory(pathlib.Path(self.argument('path')))
        url = platform_url(self)
        request = _Request(
            configuration=configuration,
            publication_id=self.option('id') or uuid.uuid4().hex,
            publisher=self.option('publisher') or getpass.getuser(),
            removed=[ServiceName(name) for name in self.option('remove')],
            base=_read_base_file(self.option('base')),
            wait=_parse_seconds(self.option('wait')),
        )

        async def work(session: aiohttp.ClientSession) -> _Result:
            return await _publish(request, url, session)

        result = with_session(work)
        _write_base_file(self.option('base'), result.base)
        self.line(
            json.dumps(result.to_json())
            if self.option('json')
            else result.to_text()
        )
        return result.exit_code


@attrs.frozen(kw_only=True)
class _Request:
    """Arguments and options of one publish."""

    configuration: Configuration
    publication_id: str
    publisher: str
    removed: Sequence[ServiceName]
    base: Mapping[str, int] | None
    wait: float

    @property
    def service_names(self) -> list[ServiceName]:
        """Names of the services to store or remove."""
        return [*self.configuration.services_by_name, *self.removed]


@attrs.frozen(kw_only=True)
class _Result:
    """Result that the command prints."""

    result: str
    publication_id: str
    exit_code: int
    generation: int | None = None
    detail: str = ''
    report: InForceReport | None = None
    base: Mapping[str, int] | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the result as data for JSON output."""
        return {
            'result': self.result,
            'generation': self.generation,
            'publication_id': self.publication_id,
            'detail': self.detail,
            **self._vm_ids(),
        }

    def to_text(self) -> str:
        """Return the result as readable text."""
        lines = [f'{self.result}: publication {self.publication_id}']
        if self.generation is not None:
            lines.append(f'generation {self.generation}')
        if self.detail:
            lines.append(self.detail)
        for kind, names in self._vm_ids().items():
            if names:
                lines.append(f'{kind}: {", ".join(names)}')
        return '\n'.join(lines)

    def _vm_ids(self) -> dict[str, list[VmId]]:
        report = self.report or InForceReport(result=Acceptance.UNKNOWN)
        return {
            'confirmed': list(report.confirmed_ids),
            'fenced': list(report.fenced_ids),
            'unconfirmed': list(report.unconfirmed_ids),
        }


async def _publish(
    request: _Request, url: str, session: aiohttp.ClientSession
) -> _Result:
    store = PlatformClient(base_url=url, session=session)
    vms = PlatformVmList(client=store)
    accounts = tuple(request.configuration.accounts_by_id.values())
    try:
        initial_records = await vms.read()
        stored = await publish(
            services=tuple(request.configuration.services_by_name.values()),
            accounts=accounts or None,
            publisher=request.publisher,
            publication_id=request.publication_id,
            table=store,
            objects=store,
            removed=request.removed,
            base=request.base,
        )
    except PublishConflictError as exc:
        return _failure('conflict', request, str(exc))
    except StoreUnavailableError as exc:
        return _failure('unavailable', request, f'nothing published: {exc}')
    report = await wait_in_force(
        publication=stored,
        vms=vms,
        send_change=AdminClient(session=session).send_change,
        clock=SystemClock(),
        initial_records=initial_records,
        timeout=request.wait,
    )
    is_accepted = report.result is Acceptance.ACCEPTED
    return _Result(
        result=report.result.value,
        publication_id=request.publication_id,
        exit_code=EXIT_OK if is_accepted else EXIT_UNKNOWN,
        generation=stored.generation,
        detail=_DETAILS_BY_RESULT[report.result],
        report=report,
        base=await _own_row_versions(store, request, stored),
    )


async def _own_row_versions(
    store: PlatformClient, request: _Request, stored: Publication
) -> Mapping[str, int] | None:
    """Return the row versions that this publication wrote, if certain.

    Versions read after another publish would let the next publish of this
    operator overwrite it without a conflict.
    """
    try:
        base = await read_base(store, services=request.service_names)
        newest = await read_generation_row(store)
    except StoreUnavailableError:
        return None
    is_own = newest.row.generation == stored.generation
    return base if is_own else None


def _failure(result: str, request: _Request, detail: str) -> _Result:
    return _Result(
        result=result,
        publication_id=request.publication_id,
        exit_code=EXIT_FAILED,
        detail=detail,
    )


def _read_base_file(path: str | None) -> Mapping[str, int] | None:
    if path is None or not pathlib.Path(path).exists():
        return None
    base: Mapping[str, int] = json.loads(pathlib.Path(path).read_text())
    return base


def _write_base_file(path: str | None, base: Mapping[str, int] | None) -> None:
    if path is not None and base is not None:
        pathlib.Path(path).write_text(json.dumps(base))


def _parse_seconds(text: str) -> float:
    try:
        return float(text)
    except ValueError as exc:
        raise SettingsError(f'--wait {text!r}; expected seconds') from exc
