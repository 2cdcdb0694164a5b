"""Publication of weights from files to the origin."""

import dataclasses
import hashlib
from collections.abc import Iterator
from pathlib import Path
from typing import Final

from ragwortcourse.identifiers import ModelName, Sha256Hex, VersionName
from ragwortcourse.weights.manifest import (
    Manifest,
    digest_bytes,
    encode_manifest,
)
from ragwortcourse.weights.origin import OriginFailed
from ragwortcourse.weights.origin_writer import (
    OriginStored,
    OriginUnreached,
    OriginWriter,
    StoreOutcome,
    VersionTaken,
)

MIN_CHUNK_BYTES: Final = 65_536
MAX_CHUNK_BYTES: Final = 1_048_576
# With many chunks, the depth of the distribution tree adds little to the total
# time.
PREFERRED_MAX_CHUNKS: Final = 2048


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Published:
    """The weights and their manifest are at the origin.

    :param digest: what a deployment names as ``manifest_sha256``.
    """

    digest: Sha256Hex
    manifest: Manifest


PublishOutcome = Published | OriginFailed | OriginUnreached | VersionTaken


def choose_chunk_size(size: int) -> int:
    """Choose the chunk size for weights of a size, both in bytes."""
    chunk = MIN_CHUNK_BYTES
    while chunk < MAX_CHUNK_BYTES and size > chunk * PREFERRED_MAX_CHUNKS:
        chunk *= 2
    return chunk


def read_chunks(path: Path, chunk_size: int) -> Iterator[bytes]:
    """Yield the chunks of a file, or of a directory's files in name order."""
    files = [path] if path.is_file() else sorted(path.rglob('*'))
    pending = b''
    for file in files:
        if not file.is_file():
            continue
        with file.open('rb') as stream:
            while piece := stream.read(chunk_size - len(pending)):
                pending += piece
                if len(pending) == chunk_size:
                    yield pending
                    pending = b''
    if pending:
        yield pending


def measure_path(path: Path) -> int:
    """Return the total size of the files at a path, in bytes."""
    if path.is_file():
        return path.stat().st_size
    return sum(
        file.stat().st_size for file in path.rglob('*') if file.is_file()
    )


async def publish_weights(
    *,
    writer: OriginWriter,
    path: Path,
    model: ModelName,
    version: VersionName,
    chunk_size: int = 0,
) -> PublishOutcome:
    """Write weights to the origin, the manifest last.

    The version's name is reserved first, so that the chunks of an existing
    version are never overwritten by another publisher.

    :param chunk_size: bytes; zero: chosen by the size of the whole.
    """
    chunk_size = chunk_size or choose_chunk_size(measure_path(path))
    manifest = make_manifest(path, model, version, chunk_size)
    content = encode_manifest(manifest)
    digest = digest_bytes(content)
    reserved = await writer.reserve_version(model, version, digest)
    if not isinstance(reserved, OriginStored):
        return reserved
    stored = await _write_chunks(writer, path, manifest)
    if isinstance(stored, OriginStored):
        stored = await writer.write_manifest(digest, content)
    if isinstance(stored, OriginFailed):
        return stored
    return Published(digest=digest, manifest=manifest)


def make_manifest(
    path: Path, model: ModelName, version: VersionName, chunk_size: int
) -> Manifest:
    """Build the manifest of the files at a path."""
    whole = hashlib.sha256()
    digests: list[Sha256Hex] = []
    size = 0
    for chunk in read_chunks(path, chunk_size):
        whole.update(chunk)
        digests.append(digest_bytes(chunk))
        size += len(chunk)
    return Manifest(
        model=model,
        version=version,
        size=size,
        sha256=Sha256Hex(whole.hexdigest()),
        chunk_size=chunk_size,
        chunks=tuple(digests),
    )


async def _write_chunks(
    writer: OriginWriter, path: Path, manifest: Manifest
) -> StoreOutcome:
    written = 0
    for index, chunk in enumerate(read_chunks(path, manifest.chunk_size)):
        if digest_bytes(chunk) not in manifest.chunks[index : index + 1]:
            return OriginFailed(detail=f'{path} changed while it was read')
        stored = await writer.write_chunk(
            manifest.model, manifest.version, index, chunk
        )
        if isinstance(stored, OriginFailed):
            return stored
        written += 1
    if written < len(manifest.chunks):
        return OriginFailed(detail=f'{path} changed while it was read')
    return OriginStored()
