"""Manifest that lists the chunks of a set of weights."""

import hashlib
from typing import Final

import msgspec

from ragwortcourse.decoding import decode_json
from ragwortcourse.identifiers import ModelName, Sha256Hex, VersionName
from ragwortcourse.unreadable import UnreadableError

# Larger manifests are refused.
MANIFEST_LIMIT_BYTES: Final = 8_388_608


class Manifest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Manifest of one version of a model, or of an adapter.

    :param model: name of the model, or of the adapter.
    :param size: bytes of the whole.
    :param sha256: digest of the whole.
    :param chunk_size: bytes of each chunk except the last.
    :param chunks: digest of each chunk, in order.
    """

    model: ModelName
    version: VersionName
    size: int
    sha256: Sha256Hex
    chunk_size: int
    chunks: tuple[Sha256Hex, ...]

    def measure_chunk(self, index: int) -> int:
        """Return the size of one chunk in bytes."""
        return min(self.chunk_size, self.size - index * self.chunk_size)


class ManifestRefused(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The bytes are not a valid manifest.

    :param detail: names the invalid value.
    """

    detail: str


def digest_bytes(content: bytes) -> Sha256Hex:
    """Return the SHA-256 of some bytes in lower-case hex."""
    return Sha256Hex(hashlib.sha256(content).hexdigest())


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest to the bytes over which its digest is computed."""
    return msgspec.json.encode(manifest)


def read_manifest(
    content: bytes, digest: Sha256Hex
) -> Manifest | ManifestRefused:
    """Decode a manifest after verifying its digest, and validate it."""
    if len(content) > MANIFEST_LIMIT_BYTES:
        return ManifestRefused(detail=f'manifest of {len(content)} bytes')
    if digest_bytes(content) != digest:
        return ManifestRefused(detail=f'bytes do not have digest {digest}')
    try:
        manifest = decode_json(content, Manifest)
    except UnreadableError as error:
        return ManifestRefused(detail=f'manifest {digest}: {error}')
    if manifest.size < 0 or manifest.chunk_size <= 0:
        return ManifestRefused(
            detail=f'size {manifest.size}, chunk_size {manifest.chunk_size}',
        )
    expected = -(-manifest.size // manifest.chunk_size)
    if len(manifest.chunks) != expected:
        return ManifestRefused(
            detail=(
                f'{len(manifest.chunks)} chunks of {manifest.chunk_size} bytes '
                f'cannot make {manifest.size} bytes'
            ),
        )
    return manifest
