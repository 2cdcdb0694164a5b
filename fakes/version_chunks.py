"""Chunks of the versions of a model, and their manifests."""

from fakes.fleet_parts import MODEL
from ragwortcourse.weights.fleet_manifest import FleetManifest
from ragwortcourse.weights.manifest import digest_bytes


def make_chunk(version: int, index: int) -> bytes:
    """Make the content of a chunk."""
    return f'{version}/{index}'.encode() * 100


def make_manifest(version: int, chunks: int) -> FleetManifest:
    """Make the manifest of a version."""
    return FleetManifest(
        model=MODEL,
        version=version,
        digests=tuple(
            digest_bytes(make_chunk(version, index)) for index in range(chunks)
        ),
    )
