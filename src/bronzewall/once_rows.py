"""Rows of caller-chosen idempotency keys in the table service."""

import hashlib

import attrs
from cattrs.preconf.cbor2 import make_converter

from bronzewall.errors import OnceRowError
from bronzewall.ports import Clock, TableService
from bronzewall.run_outcome import Outcome, RunDemand, RunState
from bronzewall.types import Row, VmId

ONCE_TABLE = 'once'
# Keys are remembered for this long, counted from the claim on the table
# service's clock.
REMEMBERED_S = 86_400.0
# Covers the time that a claim's own write may take.
_DEADLINE_MARGIN_S = 1.0
_TIME_SAMPLE_MAX_AGE_S = 300.0
# Allowed difference in speed between this VM's clock and the service's.
_DRIFT = 0.01

_converter = make_converter()


@attrs.frozen(kw_only=True)
class Entry:
    """One remembered key.

    :param vm_id: VM of the attempt that holds the key.
    :param incarnation: start time of that VM's process, nanoseconds.
    :param attempt_id: the attempt that holds the key.
    :param digest: digest of the request.
    :param deadline: the service's time after which the attempt is no
        longer sent and no answer is awaited.
    :param expires: the service's time until which the key is remembered.
    """

    state: RunState
    vm_id: VmId
    incarnation: int
    attempt_id: str
    digest: bytes
    deadline: float
    expires: float
    outcome: Outcome | None = None


def row_key(demand: RunDemand) -> str:
    """Return the row key of an account's key on a route.

    It is a digest, so that it has a bounded length, and so that cleanup
    can read evenly filled ranges by prefix.
    """
    parts = (demand.account_id or '', demand.route_id, demand.key or '')
    text = '\0'.join(f'{len(part)}:{part}' for part in parts)
    return hashlib.sha256(text.encode()).hexdigest()


def encode_entry(entry: Entry) -> bytes:
    """Return the value of a row."""
    return _converter.dumps(entry)


def decode_entry(row: Row) -> Entry:
    """Return the entry of a row.

    :raises OnceRowError: another version of bronzewall wrote the row.
    """
    try:
        return _converter.loads(row.value, Entry)
    except Exception as exc:
        raise OnceRowError(f'row of a key: {exc}') from exc


@attrs.frozen(kw_only=True)
class _Sample:
    service_time: float
    taken: float


@attrs.define(kw_only=True, eq=False)
class TableClock:
    """The table service's clock as known to this VM."""

    clock: Clock
    table: TableService
    _sample: _Sample | None = None

    async def latest(self) -> float:
        """Return a time that the service's clock has not passed yet.

        It is computed from a sample, so that a claim needs no extra read.

        :raises StoreUnavailableError: there is no sample and no answer.
        """
        sample = self._sample
        if sample is None or self._age(sample) > _TIME_SAMPLE_MAX_AGE_S:
            await self.reached()
            sample = self._sample
        assert sample is not None
        elapsed = self._age(sample) * (1 + _DRIFT)
        return sample.service_time + elapsed + _DEADLINE_MARGIN_S

    async def reached(self) -> float:
        """Return a time that the service's clock has reached.

        :raises StoreUnavailableError: the service did not answer.
        """
        before = self.clock.now()
        service_time = await self.table.time()
        self._sample = _Sample(service_time=service_time, taken=before)
        return service_time

    def _age(self, sample: _Sample) -> float:
        return self.clock.now() - sample.taken
