"""Check that a version always names the same weights."""

from collections.abc import Iterator

from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.configuration.rules import build_finding
from ragwortcourse.identifiers import Sha256Hex

# Name and version of a model or an adapter. The origin stores both kinds
# alike, so they share one set of names.
NamedVersion = tuple[str, str]


def check_versions(configuration: Configuration) -> Iterator[Finding]:
    """Check that all uses of a version have the same digest."""
    named: dict[NamedVersion, Sha256Hex] = {}
    for place, weights, digest in list_weights(configuration):
        first = named.setdefault(weights, digest)
        if first != digest:
            yield _refuse_digest(place, weights, digest, first)


def check_reused(
    configuration: Configuration, before: Configuration
) -> Iterator[Finding]:
    """Check that versions keep the digest of the previous configuration.

    :param configuration: proposed configuration.
    :param before: configuration that the proposed one replaces.
    """
    known = {weights: digest for _, weights, digest in list_weights(before)}
    for place, weights, digest in list_weights(configuration):
        first = known.get(weights, digest)
        if first != digest:
            yield _refuse_digest(
                f'configuration.{place}', weights, digest, first
            )


def list_weights(
    configuration: Configuration,
) -> Iterator[tuple[str, NamedVersion, Sha256Hex]]:
    """Yield place, name with version, and digest of all weights in use."""
    for index, model in enumerate(configuration.models):
        place = f'models[{index}]'
        yield (
            f'{place}.manifest_sha256',
            (model.model, model.version),
            model.manifest_sha256,
        )
        for number, adapter in enumerate(model.adapters):
            yield (
                f'{place}.adapters[{number}].manifest_sha256',
                (adapter.name, adapter.version),
                adapter.manifest_sha256,
            )


def _refuse_digest(
    place: str, weights: NamedVersion, digest: Sha256Hex, first: Sha256Hex
) -> Finding:
    return build_finding(
        place,
        digest,
        f'{first}, or another version',
        f'version {weights[1]} of {weights[0]} has other weights',
    )
