"""Decoder of the rows in which targets register."""

from collections.abc import Sequence
from typing import Final

import msgspec

from ragwortcourse.addresses import parse_address
from ragwortcourse.bounded import Count, MillisecondsLeft, WholeNumber
from ragwortcourse.decoding import decode_json
from ragwortcourse.forwarding.target import HeldWeights, Target
from ragwortcourse.identifiers import (
    FailureDomainName,
    ModelName,
    RegionName,
    ServiceName,
    TargetName,
)
from ragwortcourse.unreadable import UnreadableError

SECONDS_PER_MILLISECOND: Final = 0.001
STATES: Final = ('ready', 'draining')


class WireLayers(msgspec.Struct, kw_only=True, rename={'first': 'from'}):
    """Range of layers that an engine holds.

    :param to: end of the range, exclusive.
    """

    first: Count = 0
    to: Count = 0
    version: WholeNumber = 0


class WireHeldModel(msgspec.Struct, kw_only=True):
    """Model that an engine holds."""

    name: str
    version: WholeNumber = 0


class WireTarget(msgspec.Struct, kw_only=True):
    """Row of one target.

    :param cold_left_ms: remaining cold time when the row was written.
    :param born: start of this incarnation, milliseconds since the epoch.
    """

    service: str
    address: str
    zone: str
    slots: Count
    state: str
    cold_left_ms: MillisecondsLeft
    born: WholeNumber = 0
    layers: WireLayers | None = None
    models: list[WireHeldModel] = []


def decode_target(
    key: str, content: bytes, regions: dict[FailureDomainName, RegionName]
) -> Target:
    """Decode the target in a row.

    :raises UnreadableError: the bytes are not a row of a target, its state or
        failure domain is unknown, or nothing can be called at its address or
        by its name.
    """
    wire = decode_json(content, WireTarget)
    domain = FailureDomainName(wire.zone)
    if wire.state not in STATES or domain not in regions:
        raise UnreadableError(
            f'unknown state {wire.state!r} or failure domain {domain!r}'
        )
    return Target(
        name=_read_name(key),
        born=wire.born,
        service=ServiceName(wire.service),
        address=parse_address(wire.address),
        failure_domain=domain,
        region=regions[domain],
        slots=wire.slots,
        leaving=wire.state == 'draining',
        cold_seconds=wire.cold_left_ms * SECONDS_PER_MILLISECOND,
        weights=decode_layers(wire.layers, wire.models),
    )


def _read_name(key: str) -> TargetName:
    """Read the name of a target, which calls to it carry in a header.

    :raises UnreadableError: no header can carry the name.
    """
    if not key.isprintable() or not key:
        raise UnreadableError(f'no name of a target: {key!r}')
    return TargetName(key)


def decode_layers(
    wire: WireLayers | None, models: Sequence[WireHeldModel]
) -> HeldWeights | None:
    """Decode the layers that an engine holds; None if it holds none.

    :param models: models that the engine lists beside its layers.
    """
    if wire is None or wire.to <= wire.first:
        return None
    names = [each.name for each in models if each.version == wire.version]
    names += [each.name for each in models]
    return HeldWeights(
        version=wire.version,
        first=wire.first,
        end=wire.to,
        model=ModelName(names[0]) if names else None,
    )
