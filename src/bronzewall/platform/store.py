"""Client of the platform's store: rows, transactions, watches over HTTP."""

import base64
import math
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any, TypeVar

import aiohttp
import attrs
import structlog

from bronzewall.edge.model import EdgeConfiguration, EdgeInstance, VmEntry
from bronzewall.edge.ports import (
    ConfigurationReading,
    InstanceChanges,
    InstancesReading,
    Revision,
    VmsReading,
)
from bronzewall.errors import (
    StoreEntryError,
    StoreHistoryLostError,
    StoreUnavailableError,
)
from bronzewall.metrics import Metrics
from bronzewall.platform import decoding, fields, names
from bronzewall.platform.configuration import ConfigurationDecoder
from bronzewall.platform.store_clock import StoreClock
from bronzewall.ports import Clock
from bronzewall.types import InstanceId
from bronzewall.wire_checks import shown, whole_number

_STATUS_OK = 200
_STATUS_GONE = 410
_MS_PER_S = 1000
# The store answers in 4 ms and may be 16 ms away. A call that exceeds this
# limit, seconds, means that the store is slow or unreachable, and another VM of
# the zone should read instead.
_CALL_TIMEOUT_S = 0.8
_CONNECT_TIMEOUT_S = 0.4
# A read is abandoned after this time, seconds, so that one lost packet does not
# make keys stale; after a failure or a slow answer the next read gets the whole
# call timeout.
_READ_TIMEOUT_S = 0.35
_SLOW_ANSWER_S = 0.15
# Time that an answer may take beyond the limit of its call while its bytes keep
# coming, seconds. A configuration of 1 MB takes 1.6 s on a link of 5 Mbit/s.
_TRANSFER_TIME_S = 2.5
# Rows that one transaction may write.
_TRANSACTION_ROWS = 100
# Malformed rows whose errors are remembered; the oldest are forgotten.
_MAX_LOGGED_ERRORS = 1000
# The store's clock counts seconds; beyond this, arithmetic is too coarse to
# date an answer.
_MAX_CLOCK_S = 1e12
# Errors of a call. ``TimeoutError`` is an ``OSError``; a deeply nested body
# raises ``RecursionError``.
_CALL_ERRORS = (aiohttp.ClientError, OSError, ValueError, RecursionError)
# Errors of an answer whose fields cannot be read.
_MALFORMED = (KeyError, TypeError, ValueError, OverflowError)
_LOG = structlog.get_logger()
_EntryT = TypeVar('_EntryT')


@attrs.frozen(kw_only=True)
class _Row:
    """One row; ``raw`` is ``None`` for a deleted one."""

    key: str
    raw: bytes | None


@attrs.frozen(kw_only=True)
class _Answer:
    """Decoded body of an answer and the era that the store states."""

    wire: Any
    era: int


@attrs.frozen(kw_only=True)
class _Page:
    """Page of rows and the newest revision of the whole store.

    :param written_at: clock time at which it was certainly up to date.
    """

    rows: tuple[_Row, ...]
    revision: Revision
    has_more: bool
    written_at: float


@attrs.define(kw_only=True, eq=False)
class PlatformStore:
    """Implements the port ``FleetStore`` over HTTP.

    :param address: ``host:port`` of the store.
    :param region_by_zone: regions of the known zones.
    """

    address: str
    session: aiohttp.ClientSession
    clock: Clock
    metrics: Metrics
    region_by_zone: Mapping[str, str]
    store_clock: StoreClock = attrs.field(factory=StoreClock)
    _era: int = 0
    _read_timeout: float = _READ_TIMEOUT_S
    # Errors of malformed rows by table and key, as logged.
    _logged_errors: dict[tuple[str, str], str] = attrs.field(factory=dict)

    def decode_configuration(self, raw: bytes) -> EdgeConfiguration:
        """Decode the operators' row."""
        return ConfigurationDecoder(events=self.metrics.events).decode(raw)

    async def read_configuration(self) -> ConfigurationReading:
        """Read the configuration."""
        page = await self._read(names.CONFIGURATION_TABLE)
        return self._configuration_reading(page, is_whole=True)

    async def watch_configuration(
        self, *, after: Revision, wait: float
    ) -> ConfigurationReading:
        """Wait for the next change of the configuration.

        :param after: revision after which changes are reported.
        :param wait: longest wait in seconds.
        """
        page = await self._watch(names.CONFIGURATION_TABLE, after, wait)
        return self._configuration_reading(page, is_whole=False)

    async def read_instances(self) -> InstancesReading:
        """Read the instances."""
        page = await self._read(names.INSTANCES_TABLE)
        found = self._decode_rows(
            names.INSTANCES_TABLE, page, self._decode_instance
        )
        return InstancesReading(
            instances=found,
            revision=page.revision,
            confirmed_at=page.written_at,
            report_counts_by_id=decoding.report_counts(
                {row.key: row.raw for row in page.rows if row.raw is not None}
            ),
        )

    async def watch_instances(
        self, *, after: Revision, wait: float
    ) -> InstanceChanges:
        """Wait for the next changes of instances.

        An entry changes when more than its count of reports does.
        """
        page = await self._watch(names.INSTANCES_TABLE, after, wait)
        listed = self._decode_rows(
            names.INSTANCES_TABLE, page, self._decode_instance
        )
        kept = {item.instance_id for item in listed}
        return InstanceChanges(
            listed=listed,
            gone=tuple(
                InstanceId(row.key) for row in page.rows if row.key not in kept
            ),
            revision=page.revision,
            confirmed_at=page.written_at,
        )

    async def register(self, entries: Sequence[VmEntry]) -> None:
        """Write entries of VMs, as few at a time as the store takes."""
        for start in range(0, len(entries), _TRANSACTION_ROWS):
            await self._write_vms(entries[start : start + _TRANSACTION_ROWS])

    async def read_vms(self) -> VmsReading:
        """Read the VMs."""
        page = await self._read(names.VMS_TABLE)
        return VmsReading(
            entries=self._decode_rows(
                names.VMS_TABLE, page, decoding.decode_vm
            ),
            revision=page.revision,
        )

    async def watch_vms(self, *, after: Revision, wait: float) -> VmsReading:
        """Wait for VMs that register after a revision.

        :param wait: longest wait in seconds.
        """
        page = await self._watch(names.VMS_TABLE, after, wait)
        return VmsReading(
            entries=self._decode_rows(
                names.VMS_TABLE, page, decoding.decode_vm
            ),
            revision=page.revision,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()

    async def _write_vms(self, entries: Sequence[VmEntry]) -> None:
        await self._call(
            'POST',
            names.TRANSACT_PATH,
            body={
                'expected': [],
                'upserts': [
                    {
                        'table': names.VMS_TABLE,
                        'part': '',
                        'key': entry.vm_id,
                        'value': base64.b64encode(
                            decoding.encode_vm(entry)
                        ).decode(),
                    }
                    for entry in entries
                ],
                'remove': [],
            },
        )

    def _configuration_reading(
        self, page: _Page, *, is_whole: bool
    ) -> ConfigurationReading:
        raw_by_key = {row.key: row.raw for row in page.rows}
        # The key alone asks for an evacuation, whatever the row holds.
        raw_by_zone = {
            key.removeprefix(names.EVACUATION_PREFIX): raw
            for key, raw in raw_by_key.items()
            if key.startswith(names.EVACUATION_PREFIX)
        }
        zones = frozenset(filter(self._is_zone, raw_by_zone))
        returned = frozenset(
            zone for zone in zones if raw_by_zone[zone] is None
        )
        return ConfigurationReading(
            raw=raw_by_key.get(names.CONFIGURATION_KEY),
            revision=page.revision,
            confirmed_at=page.written_at,
            is_whole=is_whole,
            evacuated=zones - returned,
            returned=returned,
        )

    def _is_zone(self, zone: str) -> bool:
        """Return whether a text may be a zone; record one that may not."""
        try:
            fields.plain_text(zone, 'zone')
        except StoreEntryError as exc:
            self._record_bad_entry(
                names.CONFIGURATION_TABLE, names.EVACUATION_PREFIX, str(exc)
            )
            return False
        return True

    def _decode_instance(self, key: str, raw: bytes) -> EdgeInstance:
        return decoding.decode_instance(
            key, raw, region_by_zone=self.region_by_zone
        )

    def _decode_rows(
        self, table: str, page: _Page, decode: Callable[[str, bytes], _EntryT]
    ) -> tuple[_EntryT, ...]:
        """Return the entries of a page; malformed rows are skipped."""
        entries: list[_EntryT] = []
        for row in page.rows:
            if row.raw is None:
                self._logged_errors.pop((table, row.key), None)
                continue
            try:
                entries.append(decode(row.key, row.raw))
            except StoreEntryError as exc:
                self._record_bad_entry(table, row.key, str(exc))
            else:
                self._logged_errors.pop((table, row.key), None)
        return tuple(entries)

    def _record_bad_entry(self, table: str, key: str, error: str) -> None:
        """Count a malformed row and log it once for each error.

        Its other fields may change with every report of its writer.
        """
        self.metrics.events['bad_store_entry'] += 1
        if self._logged_errors.get((table, key)) == error:
            return
        self._logged_errors[table, key] = error
        _LOG.warning('store_entry_ignored', table=table, key=key, error=error)
        while len(self._logged_errors) > _MAX_LOGGED_ERRORS:
            self._logged_errors.pop(next(iter(self._logged_errors)))

    async def _read(self, table: str) -> _Page:
        """Return all rows of a table; each page is a consistent snapshot.

        :raises StoreHistoryLostError: the pages are of different eras.
        """
        rows: list[_Row] = []
        revision: Revision | None = None
        written_at = math.inf
        start = ''
        while True:
            page = await self._get(
                names.READ_PATH,
                {'table': table, 'part': '', 'from': start},
            )
            rows.extend(page.rows)
            # A row of an earlier page may have changed since.
            revision = revision or page.revision
            _check_era(revision, page.revision.era)
            written_at = min(written_at, page.written_at)
            if not page.has_more or not page.rows:
                return attrs.evolve(
                    page,
                    rows=tuple(rows),
                    revision=revision,
                    written_at=written_at,
                )
            # The next page starts after the last key.
            start = f'{page.rows[-1].key}\0'

    async def _watch(self, table: str, after: Revision, wait: float) -> _Page:
        """Return the changes since a revision.

        :raises StoreHistoryLostError: the revision is of another era.
        """
        _check_era(after, self._era)
        page = await self._get(
            names.WATCH_PATH,
            {
                'table': table,
                'after': str(after.number),
                'waitMs': str(int(wait * _MS_PER_S)),
            },
            wait=wait,
        )
        _check_era(after, page.revision.era)
        return page

    async def _get(
        self, path: str, query: dict[str, str], *, wait: float = 0
    ) -> _Page:
        """Return one page.

        :param wait: seconds for which the store may hold the call.
        """
        sent_at = self.clock.now()
        try:
            answer = await self._call(
                'GET',
                path,
                query={name: text for name, text in query.items() if text},
                timeout=wait + self._read_timeout,
            )
        except StoreUnavailableError:
            self._read_timeout = _CALL_TIMEOUT_S
            raise
        received_at = self.clock.now()
        is_slow = received_at - sent_at - wait > _SLOW_ANSWER_S
        self._read_timeout = _CALL_TIMEOUT_S if is_slow else _READ_TIMEOUT_S
        try:
            written_at = self.store_clock.date(
                _clock_time(answer.wire['now']),
                sent_at=sent_at,
                received_at=received_at,
            )
            return _decode_page(answer, written_at)
        except _MALFORMED as exc:
            self.metrics.events['store_failures'] += 1
            raise StoreUnavailableError(
                f'malformed answer to {path}: {shown(exc)}'
            ) from exc

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
        timeout: float = _CALL_TIMEOUT_S,
    ) -> _Answer:
        """Return the answer to a call.

        :param timeout: seconds without any byte of an answer after which the
            call is abandoned. A large answer on a slow link goes on coming.
        :raises StoreUnavailableError: the call failed.
        """
        self.metrics.events['store_calls'] += 1
        limit = aiohttp.ClientTimeout(
            total=timeout + _TRANSFER_TIME_S,
            sock_connect=min(timeout, _CONNECT_TIMEOUT_S),
            sock_read=timeout,
        )
        try:
            async with self.session.request(
                method,
                f'http://{self.address}{path}',
                params=query,
                json=body,
                timeout=limit,
            ) as response:
                era = self._read_era(response.headers)
                if response.status == _STATUS_GONE:
                    raise StoreHistoryLostError(path)
                if response.status != _STATUS_OK:
                    raise StoreUnavailableError(
                        f'{path}: status {response.status}'
                    )
                return _Answer(wire=await response.json(), era=era)
        except _CALL_ERRORS as exc:
            self.metrics.events['store_failures'] += 1
            raise StoreUnavailableError(f'{path}: {shown(exc)}') from exc

    def _read_era(self, headers: Mapping[str, str]) -> int:
        """Return the era that an answer states, or else the last one known."""
        stated = headers.get(names.STORE_ERA_HEADER, '')
        era = whole_number(stated, limit=sys.maxsize)
        if era is None:
            return self._era
        if era != self._era:
            _LOG.info('store_era', era=era, before=self._era)
            self.metrics.events['store_eras'] += 1
            self._era = era
            # The restored store may run on another clock.
            self.store_clock = StoreClock()
        return era


def _check_era(revision: Revision, era: int) -> None:
    """Check that a revision is of the era of an answer.

    The store assigns the numbers of an era before it again, so that they
    would be valid but mean other changes.

    :raises StoreHistoryLostError: it is of another era.
    """
    if revision.era != era:
        raise StoreHistoryLostError(f'era {era}, not {revision.era}')


def _clock_time(stated: object) -> float:
    """Return the store's clock as an answer states it, seconds.

    :raises ValueError: it is no such time.
    """
    if not isinstance(stated, (int, float)) or not 0 <= stated < _MAX_CLOCK_S:
        raise ValueError(f'now is {shown(stated)}')
    return stated


def _decode_page(answer: _Answer, written_at: float) -> _Page:
    """Return the page that an answer holds.

    Errors are those of ``_MALFORMED``.
    """
    wire = answer.wire
    return _Page(
        rows=tuple(map(_decode_row, wire['tableRows'])),
        # Despite its name this is the newest revision of the whole store.
        revision=Revision(era=answer.era, number=int(wire['schemaVersion'])),
        has_more=wire.get('hasMore') is True,
        written_at=written_at,
    )


def _decode_row(wire: Mapping[str, Any]) -> _Row:
    """Return a row; one whose value cannot be read is empty.

    :raises TypeError: its key is not a text.
    """
    key = wire['key']
    if not isinstance(key, str):
        raise TypeError(f'key {shown(key)}')
    if wire.get('deleted'):
        return _Row(key=key, raw=None)
    try:
        raw = base64.b64decode(wire['value'])
    except (KeyError, TypeError, ValueError):
        # No entry is empty, so that it is counted and logged as malformed.
        raw = b''
    return _Row(key=key, raw=raw)
