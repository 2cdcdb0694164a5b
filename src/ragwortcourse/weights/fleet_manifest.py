"""Manifest of one numbered version of weights."""

import dataclasses

from ragwortcourse.bounded import WholeNumber
from ragwortcourse.identifiers import ModelName, Sha256Hex
from ragwortcourse.weights.manifest import digest_bytes
from ragwortcourse.weights.model_version import ModelVersion


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetManifest:
    """Manifest of one version.

    :param digests: digest of each chunk, in order.
    """

    model: ModelName
    version: WholeNumber
    digests: tuple[Sha256Hex, ...]

    @property
    def model_version(self) -> ModelVersion:
        """Version that the manifest describes."""
        return ModelVersion(self.model, self.version)

    def matches(self, index: int, content: bytes | None) -> bool:
        """Tell whether the bytes have the digest of a chunk."""
        if content is None:
            return False
        return digest_bytes(content) == self.digests[index]
