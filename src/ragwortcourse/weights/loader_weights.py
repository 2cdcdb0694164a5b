"""Weights of the engine on a loader's host."""

import math
from collections.abc import Sequence
from typing import Final

from ragwortcourse.clock import read_clock
from ragwortcourse.forwarding.engine_profile import EngineProfile
from ragwortcourse.forwarding.fleet_state import FleetState
from ragwortcourse.forwarding.named_weights import (
    FIRST_VERSION,
    AnnouncedVersion,
)
from ragwortcourse.identifiers import ModelName
from ragwortcourse.settings import FleetSettings, LoaderSettings
from ragwortcourse.weights.chunk_store import ChunkStore, VersionChunks
from ragwortcourse.weights.engine_port import EngineReport
from ragwortcourse.weights.engine_stage import EngineStage
from ragwortcourse.weights.loader_weights_ports import LoaderWeightsPorts
from ragwortcourse.weights.model_version import ModelVersion

# Share of the link for chunk contents; the rest carries chunk headers, reports
# and operators' writes.
LINK_SHARE: Final = 0.96
BYTES_IN_MEGABIT: Final = 125_000
# Delay before a version that no source offers is requested again, so that an
# older version can be downloaded in the meantime.
STALLED_SECONDS: Final = 5.0


class LoaderWeights:
    """Versions that the engine holds, the loader stores and operators named.

    :ivar report: last report of the engine, None while the engine does not
        answer.
    :ivar stage: chunks staged at the engine.
    """

    def __init__(
        self,
        *,
        fleet: FleetSettings,
        loader: LoaderSettings,
        state: FleetState,
        ports: LoaderWeightsPorts,
    ) -> None:
        self.fleet = fleet
        self.loader = loader
        self.state = state
        self.ports = ports
        self.store = ChunkStore()
        self.stage = EngineStage(engine=ports.engine)
        self.report: EngineReport | None = None
        self._stalled_until: dict[ModelVersion, float] = {}

    @property
    def link_rate(self) -> int:
        """Bytes per second of the link for chunks, in each direction."""
        return int(self.loader.link_mbps * BYTES_IN_MEGABIT * LINK_SHARE)

    def find_rules(self) -> EngineProfile | None:
        """Return the service's engine profile if the desired state is known."""
        desired = self.state.desired
        if desired is None:
            return None
        return desired.find_engine(self.loader.service)

    def list_named(self, rules: EngineProfile) -> Sequence[AnnouncedVersion]:
        """Return the versions named for the engine's model, newest last.

        The first version has no row of its own. It may be served until the
        bound of its successor, so it stays in the list before that.
        """
        first = AnnouncedVersion(version=FIRST_VERSION, seen_at=-math.inf)
        named = self.state.weights.get(rules.model, ())
        if named and (
            named[0].version != FIRST_VERSION + 1 or not named[0].observed
        ):
            return named
        return (first, *named)

    def read_held(self, rules: EngineProfile) -> int:
        """Return the version that the engine holds completely, or zero."""
        held = None if self.report is None else self.report.weights
        return held.version if held and held.covers(rules) else 0

    def estimate_download_seconds(
        self, rules: EngineProfile, version: int
    ) -> float:
        """Estimate the seconds needed to download the missing chunks.

        :return: infinity while no source offers the version.
        """
        if self.is_stalled(ModelVersion(rules.model, version)):
            return math.inf
        missing = self.count_missing(rules, version)
        return missing * rules.chunk_bytes / self.link_rate

    def count_missing(self, rules: EngineProfile, version: int) -> int:
        """Return the number of chunks of a version that are missing here."""
        kept = self.store.find(ModelVersion(rules.model, version))
        return rules.chunks if kept is None else len(kept.missing)

    def is_stalled(self, version: ModelVersion) -> bool:
        """Tell whether no source offered a version recently."""
        return read_clock() < self._stalled_until.get(version, 0)

    def note_stalled(self, version: ModelVersion) -> None:
        """Record that no source offers the missing chunks of a version."""
        self._stalled_until[version] = read_clock() + STALLED_SECONDS

    def note_offered(self, version: ModelVersion) -> None:
        """Record that a source offers a version."""
        self._stalled_until.pop(version, None)

    def find_downloaded(self, rules: EngineProfile) -> VersionChunks | None:
        """Return the newest complete version if it is newer than the held."""
        newest = self.store.find_newest_whole(rules.model)
        if newest <= self.read_held(rules):
            return None
        named = {each.version for each in self.list_named(rules)}
        if newest not in named:
            return None
        return self.store.find(ModelVersion(rules.model, newest))

    async def find_chunk(
        self, model: ModelName, version: int, index: int
    ) -> bytes | None:
        """Return a chunk of the version that the engine holds.

        A chunk that is not in the loader's memory is read from the engine's
        stage and may be corrupted.
        """
        rules = self.find_rules()
        if rules is None or rules.model != model:
            return None
        if self.read_held(rules) != version or index >= rules.chunks:
            return None
        kept = self.store.find(ModelVersion(model, version))
        if kept is not None and index in kept.contents:
            return kept.contents[index]
        # The receiver checks the content against the digest.
        return await self.ports.engine.read_staged(model, index)
