"""Parts of calls that the stop of a daemon can end."""

import asyncio
import contextlib
from collections.abc import AsyncIterator


class ScopeEndedError(TimeoutError):
    """The stop of the daemon ended the scope."""


class CallScopes:
    """Scopes of calls that can all be ended at once."""

    def __init__(self) -> None:
        self._scopes: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """Open a scope that lasts until its body or :meth:`end_all` ends it.

        :raises ScopeEndedError: the scope was ended.
        """
        scope = asyncio.timeout(None)
        self._scopes.add(scope)
        try:
            async with scope:
                yield
        except TimeoutError as error:
            if scope.expired():
                raise ScopeEndedError from error
            raise
        finally:
            self._scopes.discard(scope)

    def end_all(self) -> None:
        """End all open scopes."""
        now = asyncio.get_running_loop().time()
        for scope in self._scopes:
            if not scope.expired():
                scope.reschedule(now)
