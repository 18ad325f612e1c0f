"""Exception types, all derived from BronzewallError."""

from collections.abc import Sequence

import attrs


class BronzewallError(Exception):
    """Base class of the exceptions raised by bronzewall."""


class StoreError(BronzewallError):
    """An operation on the table service or object store failed."""


class StoreUnavailableError(StoreError):
    """The store did not accept the operation; nothing was changed."""


class StoreAnswerLostError(StoreError):
    """The answer was lost; the write may have taken effect."""


class StoreConflictError(StoreError):
    """A version check of a transaction failed; nothing was changed."""


class StoreHistoryLostError(StoreError):
    """The store no longer has the changes after the given revision."""


class StoreEntryError(StoreError):
    """An entry of the store cannot be decoded."""


class OnceRowError(StoreError):
    """The row of an idempotency key cannot be read."""


class ObjectMissingError(StoreError):
    """The object store has no object of this name."""


class AdminUnavailableError(BronzewallError):
    """The admin endpoint of a VM did not answer."""


class QuestionError(BronzewallError):
    """A VM was asked about a request that is described wrongly."""


class AddressError(BronzewallError):
    """A text is not the address of a host and port."""


class PeerError(BronzewallError):
    """Communication with another VM failed."""


class DuplicateKindError(PeerError):
    """Two message classes were registered with one type tag."""


class PeerTimeoutError(PeerError):
    """A peer did not reply in time."""


class PeerMessageError(PeerError):
    """A peer message cannot be decoded."""


class PeerVersionError(PeerMessageError):
    """A peer message has a protocol version that is not supported."""


class PeerKindError(PeerMessageError):
    """A peer message has an unknown type or a body of the wrong shape."""


class UpstreamError(BronzewallError):
    """An exchange with an upstream instance failed."""


class ConnectFailedError(UpstreamError):
    """No connection was established; the request has not run."""


class UpstreamShedError(UpstreamError):
    """The instance refused the request explicitly; it has not run.

    :param request_limit: requests a second that the instance accepts from
        all VMs together, if it stated a limit.
    :param is_leaving: it stated that it leaves.
    :param pause: seconds for which it wants no request of this VM.
    """

    def __init__(
        self,
        detail: str = '',
        *,
        request_limit: float | None = None,
        is_leaving: bool = False,
        pause: float = 0,
    ) -> None:
        """Store what the refusal stated."""
        super().__init__(detail)
        self.request_limit = request_limit
        self.is_leaving = is_leaving
        self.pause = pause


class UpstreamTimeoutError(UpstreamError):
    """The deadline passed before the answer; the outcome is unknown."""


class UpstreamBrokenError(UpstreamError):
    """The exchange broke after the request was sent; outcome unknown."""


class WrongInstanceError(UpstreamError):
    """Another instance now uses the address; the request has not run."""


class AttemptAbandonedError(UpstreamError):
    """The instance was suspected before it answered; outcome unknown."""


class CallerError(BronzewallError):
    """The caller's connection or request cannot be used."""


class BodyTooLargeError(CallerError):
    """The request body exceeds the limit."""


class BodiesTooLargeError(CallerError):
    """The request bodies in progress leave no room for another one."""


class BodyTimeoutError(CallerError):
    """The caller did not send the request body in time."""


class CallerGoneError(CallerError):
    """The caller closed the connection before the answer was complete."""


class SettingsError(BronzewallError):
    """A flag or environment variable is not valid."""


@attrs.frozen(kw_only=True)
class FileProblem:
    """One mistake in an operator's configuration file.

    :param path: file name.
    :param line: line number from 1, or ``None`` where unknown.
    :param key: dotted key of the value.
    :param found: text of the value in the file.
    :param allowed: description of the allowed values.
    """

    path: str
    line: int | None
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return the one-line form shown to operators."""
        location = (
            self.path if self.line is None else f'{self.path}:{self.line}'
        )
        return f'{location}: {self.key}: found {self.found}; {self.allowed}'


class ConfigurationError(BronzewallError):
    """The configuration cannot be used."""


class ConfigurationFilesError(ConfigurationError):
    """Operators' files have mistakes.

    :param problems: every mistake found.
    """

    def __init__(self, *, problems: Sequence[FileProblem]) -> None:
        """Store the problems and build a message with one per line."""
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = tuple(problems)


class SnapshotError(ConfigurationError):
    """A configuration snapshot is truncated or damaged."""


class PublishConflictError(ConfigurationError):
    """Another operator published the same service first.

    :param part: service that was published, or ``accounts``.
    :param publisher: the other operator.
    """

    def __init__(self, *, part: str, publisher: str) -> None:
        """Build the message from the service and the other operator."""
        super().__init__(f'{part} was published by {publisher} in the meantime')
        self.part = part
        self.publisher = publisher


class NoConfigurationError(ConfigurationError):
    """No configuration is in force on this VM yet."""


class RateExceededError(BronzewallError):
    """The account's rate and burst are used up.

    :param retry_after: seconds until a retry may succeed.
    :param detail: the figures behind the decision.
    """

    def __init__(self, *, retry_after: float, detail: str = '') -> None:
        """Store the delay for the Retry-After header of the refusal."""
        super().__init__(
            f'rate exceeded, retry after {retry_after:.3f} s {detail}'.rstrip()
        )
        self.retry_after = retry_after


class NoInstanceError(BronzewallError):
    """No instance of the service is available for the request now."""


class QueueFullError(BronzewallError):
    """The request cannot be served before its deadline.

    :param retry_after: seconds until a retry may succeed.
    """

    def __init__(self, *, retry_after: float) -> None:
        """Store the delay for the Retry-After header of the refusal."""
        super().__init__(f'overloaded, retry after {retry_after:.3f} s')
        self.retry_after = retry_after


class RunIdError(BronzewallError, ValueError):
    """An issued id is malformed."""


class RunTableFullError(BronzewallError):
    """The in-memory table of run ids is full."""
