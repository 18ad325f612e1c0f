"""Settings of the daemon from flags and environment variables."""

from collections.abc import Mapping

import attrs
import typed_settings

from bronzewall.errors import SettingsError
from bronzewall.logs import LEVELS_BY_NAME
from bronzewall.settings_checks import (
    host_port,
    not_empty,
    positive,
    reject_unknown,
)

PREFIX = 'BRONZEWALL_'
_DEFAULT_NOTICE_S = 5.0
_DEFAULT_STOP_LIMIT_S = 30.0
_DEFAULT_BODY_BYTES = 1_048_576


@attrs.frozen(kw_only=True)
class Settings:
    """Settings of one VM.

    :param vm_id: id of this VM in the platform's list.
    :param listen: ``host:port`` that callers connect to.
    :param peer_listen: ``host:port`` that other VMs connect to.
    :param admin_listen: ``host:port`` for operators and the load balancer.
    :param platform: base URL of the platform's store.
    :param notice_s: seconds that the load balancer needs to detect a planned
        stop.
    :param stop_limit_s: maximum seconds that a planned stop takes.
    :param max_body_bytes: largest request body in bytes.
    """

    vm_id: str = attrs.field(validator=not_empty)
    region: str = attrs.field(validator=not_empty)
    zone: str = attrs.field(validator=not_empty)
    listen: str = attrs.field(validator=host_port)
    peer_listen: str = attrs.field(validator=host_port)
    admin_listen: str = attrs.field(validator=host_port)
    platform: str = attrs.field(validator=not_empty)
    notice_s: float = attrs.field(
        default=_DEFAULT_NOTICE_S, validator=attrs.validators.ge(0)
    )
    stop_limit_s: float = attrs.field(
        default=_DEFAULT_STOP_LIMIT_S, validator=positive
    )
    max_body_bytes: int = attrs.field(
        default=_DEFAULT_BODY_BYTES, validator=positive
    )
    log_format: str = attrs.field(
        default='json', validator=attrs.validators.in_(('console', 'json'))
    )
    log_level: str = attrs.field(
        default='info', validator=attrs.validators.in_(LEVELS_BY_NAME)
    )


@attrs.frozen(kw_only=True)
class Origin:
    """Source of the value of a setting.

    :param source: ``flag``, ``default`` or the environment variable.
    """

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
    variables = {PREFIX + name.upper(): name for name in names}
    reject_unknown(flags, names)
    own_variables = {
        name: text
        for name, text in environment.items()
        if name.startswith(PREFIX)
    }
    reject_unknown(own_variables, variables)
    texts_by_name = {
        variables[name]: text for name, text in own_variables.items()
    }
    texts_by_name.update(flags)
    origins = tuple(
        Origin(name=name, source=_source(name, flags, own_variables))
        for name in names
    )
    return _convert(texts_by_name), origins


def _convert(texts_by_name: dict[str, str]) -> Settings:
    converter = typed_settings.converters.get_default_ts_converter()
    missing = [
        field.name
        for field in attrs.fields(Settings)
        if field.default is attrs.NOTHING and field.name not in texts_by_name
    ]
    if missing:
        variables = ', '.join(PREFIX + name.upper() for name in missing)
        raise SettingsError(f'required settings are not set: {variables}')
    try:
        return converter.structure(texts_by_name, Settings)
    except (TypeError, ValueError) as exc:
        raise SettingsError(_describe_error(exc)) from exc


def _describe_error(exc: BaseException) -> str:
    """Return the messages of an exception group in one line."""
    if isinstance(exc, BaseExceptionGroup):
        return '; '.join(_describe_error(part) for part in exc.exceptions)
    return str(exc)


def _source(
    name: str, flags: Mapping[str, str], own_variables: Mapping[str, str]
) -> str:
    variable = PREFIX + name.upper()
    if name in flags:
        return 'flag'
    return variable if variable in own_variables else 'default'
