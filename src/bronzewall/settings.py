"""Settings of the daemon from flags and environment variables."""

import difflib
from collections.abc import Mapping

import attrs

from bronzewall.errors import SettingsError

_MAX_PORT = 65535
_DEFAULT_NOTICE_S = 5.0
_DEFAULT_STOP_LIMIT_S = 30.0
_DEFAULT_BODY_BYTES = 1_048_576
PREFIX = 'BRONZEWALL_'


def _not_empty(
    _instance: object, field: 'attrs.Attribute[str]', found: str
) -> None:
    if not found:
        raise SettingsError(f'{field.name} must be set')


def _host_port(
    _instance: object, field: 'attrs.Attribute[str]', found: str
) -> None:
    host, _, port = found.rpartition(':')
    if not host or not port.isdigit() or int(port) > _MAX_PORT:
        raise SettingsError(f'{field.name} is {found!r}; expected HOST:PORT')


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of one VM.

    :param vm_id: id of this VM in the platform's list.
    :param listen: ``host:port`` for callers.
    :param peer_listen: ``host:port`` for other VMs.
    :param admin_listen: ``host:port`` for operators and the balancer.
    :param platform: base URL of the platform's store.
    :param notice_s: seconds for the balancer to notice a planned stop.
    :param stop_limit_s: most seconds of a planned stop.
    """

    vm_id: str = attrs.field(validator=_not_empty)
    region: str = attrs.field(validator=_not_empty)
    zone: str = attrs.field(validator=_not_empty)
    listen: str = attrs.field(validator=_host_port)
    peer_listen: str = attrs.field(validator=_host_port)
    admin_listen: str = attrs.field(validator=_host_port)
    platform: str = attrs.field(validator=_not_empty)
    notice_s: float = attrs.field(default=_DEFAULT_NOTICE_S, converter=float)
    stop_limit_s: float = attrs.field(
        default=_DEFAULT_STOP_LIMIT_S, converter=float
    )
    max_body_bytes: int = attrs.field(
        default=_DEFAULT_BODY_BYTES, converter=int
    )
    log_format: str = attrs.field(
        default='json', validator=attrs.validators.in_(('console', 'json'))
    )
    log_level: str = attrs.field(
        default='info',
        validator=attrs.validators.in_(
            (
                'debug',
                'info',
                'warning',
                'error',
            )
        ),
    )


@attrs.frozen(kw_only=True)
class Origin:
    """Where the value of a setting comes from."""

    name: str
    source: str


def load_settings(
    *, flags: Mapping[str, str], environment: Mapping[str, str]
) -> tuple[Settings, tuple[Origin, ...]]:
    """Return the settings and the origin of each value.

    :param flags: values given on the command line, by setting name.
    :raises SettingsError: a value is missing, not valid or unknown.
    """
    names = [field.name for field in attrs.fields(Settings)]
    chosen, origins = {}, []
    _reject_unknown(names, environment)
    for name in names:
        variable = PREFIX + name.upper()
        if name in flags:
            chosen[name] = flags[name]
            origins.append(Origin(name=name, source='flag'))
        elif variable in environment:
            chosen[name] = environment[variable]
            origins.append(Origin(name=name, source=variable))
        else:
            origins.append(Origin(name=name, source='default'))
    try:
        return Settings(**chosen), tuple(origins)
    except (TypeError, ValueError) as exc:
        raise SettingsError(str(exc)) from exc


def _reject_unknown(names: list[str], environment: Mapping[str, str]) -> None:
    known = {PREFIX + name.upper() for name in names}
    for variable in environment:
        if variable.startswith(PREFIX) and variable not in known:
            near = difflib.get_close_matches(variable, known, n=1)
            hint = f'; did you mean {near[0]}?' if near else ''
            raise SettingsError(f'unknown variable {variable}{hint}')
