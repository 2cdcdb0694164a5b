"""Model versions held by a stand-in engine, and orders that change them."""

import hashlib

from ragwortcourse.engines.engine import (
    EngineOrder,
    EngineVersion,
    OrderAction,
    OrderConfirmed,
    OrderOutcome,
    OrderRefused,
)
from ragwortcourse.identifiers import AdapterName, ModelName, VersionName

StoreKey = tuple[ModelName, VersionName, AdapterName | None]


class EngineVersions:
    """Chunks, complete versions and the active version of each model.

    :param checks_fencing: false for engines that accept stale orders.
    """

    def __init__(self, *, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self._fencing = 0
        self._chunks: dict[StoreKey, dict[int, bytes]] = {}
        self._complete: set[StoreKey] = set()
        self.active: dict[ModelName, VersionName] = {}
        self.orders: list[EngineOrder] = []
        self.role: str | None = None
        self.reports_role = True

    def store(self, key: StoreKey, index: int, chunk: bytes) -> None:
        """Store one chunk."""
        self._chunks.setdefault(key, {})[index] = chunk

    def follow(self, order: EngineOrder) -> OrderOutcome:
        """Carry out an order, or refuse it.

        An order is refused for a stale fencing number, missing chunks, a
        wrong digest or a version that is not complete.
        """
        if self._checks_fencing and order.fencing < self._fencing:
            return OrderRefused(detail='stale fencing number', stale=True)
        self._fencing = max(self._fencing, order.fencing)
        self.orders.append(order)
        key = (order.model, order.version, order.adapter)
        if order.action is OrderAction.LOAD:
            return self._load(key, order)
        if order.action is OrderAction.ACTIVATE:
            return self._activate(key)
        if order.action is OrderAction.UNLOAD:
            self._unload(key)
        if order.action is OrderAction.ROLE:
            self.role = order.role
        return OrderConfirmed()

    def install(self, model: ModelName, version: VersionName) -> None:
        """Make a version complete and active without any chunks."""
        self._complete.add((model, version, None))
        self.active[model] = version

    def describe(self) -> tuple[EngineVersion, ...]:
        """List every version with its adapters."""
        keys = {*self._chunks, *self._complete}
        return tuple(
            EngineVersion(
                model=model,
                version=version,
                adapters=tuple(
                    other[2]
                    for other in self._complete
                    if other[:2] == (model, version) and other[2]
                ),
                complete=(model, version, None) in self._complete,
                active=self.active.get(model) == version,
            )
            for model, version, adapter in keys
            if adapter is None
        )

    def _load(self, key: StoreKey, order: EngineOrder) -> OrderOutcome:
        chunks = self._chunks.get(key, {})
        if order.chunks and sorted(chunks) != list(range(order.chunks)):
            return OrderRefused(detail='chunks are missing')
        whole = hashlib.sha256()
        for _index, chunk in sorted(chunks.items()):
            whole.update(chunk)
        if order.sha256 and whole.hexdigest() != order.sha256:
            return OrderRefused(detail='the digest does not fit')
        self._complete.add(key)
        return OrderConfirmed()

    def _activate(self, key: StoreKey) -> OrderOutcome:
        if key not in self._complete:
            return OrderRefused(detail='the version is not complete')
        if key[2] is None:
            self.active[key[0]] = key[1]
        return OrderConfirmed()

    def _unload(self, key: StoreKey) -> None:
        self._chunks.pop(key, None)
        self._complete.discard(key)
        if key[2] is None and self.active.get(key[0]) == key[1]:
            self.active.pop(key[0])
