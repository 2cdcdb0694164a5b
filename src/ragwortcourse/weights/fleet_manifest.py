"""What one version of weights consists of, by number."""

import dataclasses

from ragwortcourse.identifiers import ModelName, Sha256Hex
from ragwortcourse.weights.manifest import digest_bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetManifest:
    """Digests of the chunks of one version, in order."""

    model: ModelName
    version: int
    digests: tuple[Sha256Hex, ...]

    def matches(self, index: int, content: bytes | None) -> bool:
        """Tell whether some bytes are a chunk of this version."""
        if content is None:
            return False
        return digest_bytes(content) == self.digests[index]
