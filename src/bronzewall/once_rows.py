"""Rows of caller-chosen idempotency keys in the table service."""

import hashlib

import attrs
from cattrs.preconf.cbor2 import make_converter

from bronzewall.errors import OnceRowError
from bronzewall.ports import Clock, TableService
from bronzewall.run_outcome import Outcome, RunRequest, RunState
from bronzewall.types import Row, VmId

ONCE_TABLE = 'once'
# A key is kept for this long after its claim, by the clock of the table
# service.
RETENTION_S = 86_400.0
# Covers the duration of the write that stores a claim.
_DEADLINE_MARGIN_S = 1.0
_TIME_SAMPLE_MAX_AGE_S = 300.0
# Largest relative difference between the rates of this VM's clock and the
# service's clock.
_MAX_CLOCK_DRIFT = 0.01

_converter = make_converter()


@attrs.frozen(kw_only=True)
class Entry:
    """The stored state of one key.

    :param vm_id: VM of the attempt that holds the key.
    :param incarnation: start time of that VM's process, nanoseconds.
    :param attempt_id: the attempt that holds the key.
    :param digest: digest of the request.
    :param deadline: time of the service, in seconds, after which the
        attempt is neither sent nor waited for.
    :param expires: time of the service, in seconds, until which the key is
        kept.
    """

    state: RunState
    vm_id: VmId
    incarnation: int
    attempt_id: str
    digest: bytes
    deadline: float
    expires: float
    outcome: Outcome | None = None


def row_key(run_request: RunRequest) -> str:
    """Return the row key of an account's key on a route.

    The row key is a digest, so that its length is bounded and rows are
    spread evenly over the prefixes that cleanup scans.
    """
    parts = (
        run_request.account_id or '',
        run_request.route_id,
        run_request.key or '',
    )
    text = '\0'.join(f'{len(part)}:{part}' for part in parts)
    return hashlib.sha256(text.encode()).hexdigest()


def encode_entry(entry: Entry) -> bytes:
    """Return the value of a row."""
    return _converter.dumps(entry)


def decode_entry(row: Row) -> Entry:
    """Return the entry of a row.

    :raises OnceRowError: the value cannot be decoded, for example because
        another version of bronzewall wrote it.
    """
    try:
        return _converter.loads(row.value, Entry)
    except Exception as exc:
        raise OnceRowError(f'cannot decode the row of a key: {exc}') from exc


@attrs.frozen(kw_only=True)
class _TimeSample:
    service_time: float
    taken_at: float


@attrs.define(kw_only=True, eq=False)
class TableClock:
    """Estimates the clock of the table service from samples."""

    clock: Clock
    table: TableService
    _sample: _TimeSample | None = None

    async def upper_bound(self) -> float:
        """Return an upper bound of the service's present time, in seconds.

        It is computed from a recent sample, so that a claim needs no extra
        read.

        :raises StoreUnavailableError: there is no recent sample and the
            service did not answer.
        """
        sample = self._sample
        if sample is None or self._age(sample) > _TIME_SAMPLE_MAX_AGE_S:
            await self.lower_bound()
            sample = self._sample
        assert sample is not None
        elapsed = self._age(sample) * (1 + _MAX_CLOCK_DRIFT)
        return sample.service_time + elapsed + _DEADLINE_MARGIN_S

    async def lower_bound(self) -> float:
        """Read the service's clock, a lower bound of its present time.

        :returns: seconds.
        :raises StoreUnavailableError: the service did not answer.
        """
        before = self.clock.now()
        service_time = await self.table.time()
        self._sample = _TimeSample(service_time=service_time, taken_at=before)
        return service_time

    def _age(self, sample: _TimeSample) -> float:
        return self.clock.now() - sample.taken_at
