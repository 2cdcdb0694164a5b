"""Parts of calls that the stop of a daemon can end."""

import asyncio
import contextlib
from collections.abc import AsyncIterator


class CallScopes:
    """Scopes of calls that can all be ended at once."""

    def __init__(self) -> None:
        self._scopes: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """Open a scope that lasts until its body or :meth:`end_all` ends it.

        :raises TimeoutError: the scope was ended.
        """
        async with asyncio.timeout(None) as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    def end_all(self) -> None:
        """End all open scopes."""
        now = asyncio.get_running_loop().time()
        for scope in self._scopes:
            if not scope.expired():
                scope.reschedule(now)
