"""Limit on the bytes of callers' request bodies that a VM holds at once."""

import contextlib
from collections.abc import Iterator

import attrs

from bronzewall.errors import BodiesTooLargeError


@attrs.define(kw_only=True, eq=False)
class BodyBudget:
    """Counts the bytes of the bodies in progress.

    :param limit: bytes of all bodies together.
    """

    limit: float
    total: int = 0

    @contextlib.contextmanager
    def body(self) -> Iterator['BodyBytes']:
        """Count one body until the request has ended."""
        counted = BodyBytes(budget=self)
        try:
            yield counted
        finally:
            counted.release()


@attrs.define(kw_only=True, eq=False)
class BodyBytes:
    """Bytes that one request occupies."""

    budget: BodyBudget
    count: int = 0

    def reserve(self, size: int) -> None:
        """Make room for a body up to a size.

        :raises BodiesTooLargeError: the bodies in progress leave no room.
        """
        added = max(0, size - self.count)
        if self.budget.total + added > self.budget.limit:
            raise BodiesTooLargeError(
                f'{self.budget.total} bytes of {self.budget.limit} are held,'
                f' {added} more are needed'
            )
        self.budget.total += added
        self.count += added

    def release(self) -> None:
        """Give the room back; more calls do nothing."""
        self.budget.total -= self.count
        self.count = 0
