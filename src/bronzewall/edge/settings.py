"""Settings of a VM whose instances come from service discovery."""

import enum
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from bronzewall.errors import SettingsError
from bronzewall.logs import LEVELS_BY_NAME
from bronzewall.settings_checks import (
    host_port,
    not_empty,
    positive,
    reject_unknown,
)

_COMMENT = '#'
_DISCOVERY_INTERVAL_S = 1.5
_FLAGS_BY_TEXT: Mapping[bool | str, bool] = {
    'true': True,
    'false': False,
    True: True,
    False: False,
}
ANSWER_BYTES = 4_194_304
TOTAL_ANSWER_BYTES = 33_554_432
_TOTAL_BODY_BYTES = 33_554_432
# Sixty answers of half a megabyte. With the two totals above and a process of
# about 70 MB, a VM of 200 MB keeps a margin.
_HELD_ANSWER_BYTES = 33_554_432


def _seconds(default: float) -> Any:
    return attrs.field(default=default, converter=float, validator=positive)


def _flag(given: bool | str) -> bool:
    if given in _FLAGS_BY_TEXT:
        return _FLAGS_BY_TEXT[given]
    raise ValueError(f'{given!r} is neither true nor false')


def _text() -> Any:
    return attrs.field(validator=not_empty)


def _address() -> Any:
    return attrs.field(validator=host_port)


class Scheduling(enum.StrEnum):
    """When requests wait in the VM for room at the instances.

    ``AUTO`` schedules while the configuration has routes of large requests or
    answers: they hold instances, links and memory far longer than the other
    requests that compete with them.
    """

    AUTO = 'auto'
    ON = 'on'
    OFF = 'off'

    def is_on(self, *, has_bulk_routes: bool) -> bool:
        """Return whether a VM schedules.

        :param has_bulk_routes: whether the configuration in force has routes
            of large requests or answers.
        """
        if self is Scheduling.AUTO:
            return has_bulk_routes
        return self is Scheduling.ON


@attrs.frozen(kw_only=True)
class EdgeSettings:
    """Settings of one VM.

    :param listen: ``host:port`` for callers.
    :param ready_listen: ``host:port`` of the load balancer's health check.
    :param peer_listen: ``host:port`` for other VMs.
    :param admin_listen: ``host:port`` for operators and metrics.
    :param store: ``host:port`` of the platform's store.
    :param peer_address: ``host:port`` at which other VMs reach
        ``peer_listen``, if it differs.
    :param zones: regions by zone, as ``zone=region`` joined by commas.
    :param strength: relative processing power of this VM.
    :param config_bound: seconds within which a configuration must be in force.
    :param first_start: whether the whole fleet starts for the first time.
    :param drain_bound: seconds within which requests to a leaving instance
        must stop.
    :param revoke_bound: seconds within which a withdrawn key must stop
        working.
    :param stop_limit: seconds from the start of a planned stop until the
        process is killed.
    :param discovery_interval: seconds between two reports of an instance.
    :param retry_ratio: retries allowed per request, over the fleet.
    :param retry_slack: additional retries allowed over the fleet, in any
        window in which the platform counts them.
    :param rate_slack: requests of an account beyond its rate and burst that
        the fleet may admit in a few seconds.
    :param scheduling: ``on``, ``off`` or ``auto``, see :class:`Scheduling`.
    :param answer_bytes: largest body of an instance's answer.
    :param total_answer_bytes: bytes of all answers that are being received.
    :param total_body_bytes: bytes of all request bodies that are held.
    :param cost_aware: whether the choice of an instance goes by what requests
        are likely to cost and by the speed of instances.
    :param held_answer_bytes: bytes of answers that callers have not taken.
    :param log_level: name of the lowest level that is logged.
    """

    vm_id: str = _text()
    region: str = _text()
    zone: str = _text()
    listen: str = _address()
    ready_listen: str = _address()
    peer_listen: str = _address()
    admin_listen: str = _address()
    store: str = _address()
    zones: str = ''
    peer_address: str = ''
    strength: float = _seconds(1)
    first_start: bool = attrs.field(default=False, converter=_flag)
    config_bound: float = _seconds(2)
    drain_bound: float = _seconds(2)
    revoke_bound: float = _seconds(5)
    stop_limit: float = _seconds(6)
    discovery_interval: float = _seconds(_DISCOVERY_INTERVAL_S)
    retry_ratio: float = attrs.field(
        default=0.1, converter=float, validator=attrs.validators.ge(0)
    )
    retry_slack: float = attrs.field(
        default=10, converter=float, validator=attrs.validators.ge(0)
    )
    rate_slack: float = attrs.field(
        default=0, converter=float, validator=attrs.validators.ge(0)
    )
    scheduling: Scheduling = attrs.field(
        default=Scheduling.AUTO, converter=Scheduling
    )
    answer_bytes: int = attrs.field(
        default=ANSWER_BYTES, converter=int, validator=positive
    )
    total_answer_bytes: int = attrs.field(
        default=TOTAL_ANSWER_BYTES, converter=int, validator=positive
    )
    total_body_bytes: int = attrs.field(
        default=_TOTAL_BODY_BYTES, converter=int, validator=positive
    )
    cost_aware: bool = attrs.field(default=False, converter=_flag)
    held_answer_bytes: int = attrs.field(
        default=_HELD_ANSWER_BYTES, converter=int, validator=positive
    )
    log_level: str = attrs.field(
        default='info', validator=attrs.validators.in_(LEVELS_BY_NAME)
    )

    def region_by_zone(self) -> dict[str, str]:
        """Return regions by zone, including the VM's own zone."""
        pairs = (item.partition('=') for item in self.zones.split(',') if item)
        return {
            self.zone: self.region,
            **{zone: region for zone, _, region in pairs},
        }

    def entry_address(self) -> str:
        """Return the ``host:port`` at which other VMs reach ``listen``."""
        host = (self.peer_address or self.peer_listen).rpartition(':')[0]
        return f'{host}:{self.listen.rpartition(":")[2]}'


def parse_lines(lines: Iterable[str]) -> dict[str, str]:
    """Parse the lines of a file of ``NAME=value`` settings.

    :raises SettingsError: a line has no ``=``.
    """
    values_by_name: dict[str, str] = {}
    for number, line in enumerate(lines, start=1):
        text = line.strip()
        if not text or text.startswith(_COMMENT):
            continue
        name, separator, value = text.partition('=')
        if not separator:
            raise SettingsError(f'line {number}: {text!r} has no "="')
        values_by_name[name.strip().lower()] = value.strip()
    return values_by_name


def edge_settings(given: Mapping[str, str]) -> EdgeSettings:
    """Return validated settings.

    :param given: values by setting name; empty ones select the default.
    :raises SettingsError: a setting is missing, invalid or unknown.
    """
    fields = {field.name: field for field in attrs.fields(EdgeSettings)}
    reject_unknown(given, fields)
    missing = [
        field.name
        for field in fields.values()
        if field.default is attrs.NOTHING and not given.get(field.name)
    ]
    if missing:
        raise SettingsError(f'not set: {", ".join(missing)}')
    chosen: dict[str, Any] = {key: text for key, text in given.items() if text}
    try:
        return EdgeSettings(**chosen)
    except ValueError as exc:
        raise SettingsError(str(exc)) from exc
