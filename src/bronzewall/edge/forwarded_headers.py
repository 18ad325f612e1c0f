"""Headers of a caller's request as they are sent on."""

from collections.abc import Sequence

from bronzewall import headers as header_rules
from bronzewall.edge.ports import HeaderNames
from bronzewall.ports import Headers


def forwarded_headers(
    names: HeaderNames,
    caller_headers: Headers,
    added: Sequence[tuple[str, str]],
) -> Headers:
    """Return the headers to send on, with the caller's ``Host``.

    :param added: headers that this VM sets; a caller's headers with the names
        of this VM are dropped.
    """
    replaced = {
        name.lower()
        for name in (
            names.attempt_id,
            names.deadline_ms,
            names.target_instance,
            names.account,
        )
    }
    host = header_rules.find(caller_headers, 'Host')
    kept = [
        (name, text)
        for name, text in header_rules.request_headers(caller_headers, ())
        if name.lower() not in replaced
    ]
    if host is not None:
        kept.insert(0, ('Host', host))
    return [*kept, *added]
