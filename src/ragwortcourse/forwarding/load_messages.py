"""Messages about loads and versions between the daemons of a fleet."""

from collections.abc import Mapping

import msgspec

from ragwortcourse.bounded import Age, Count, SwitchSeconds, WholeNumber
from ragwortcourse.forwarding.balancing.pace_news import PaceNewsMessage
from ragwortcourse.forwarding.retries.retry_messages import RetryMessage
from ragwortcourse.forwarding.scheduling.service_demand import ServiceDemand
from ragwortcourse.identifiers import (
    DaemonId,
    ModelName,
    ServiceName,
    TargetName,
)


class VersionAnnouncement(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Version of a model as known to one daemon.

    :param age: seconds since the version was announced.
    :param observed: false if the daemon found the version at its start and
        had to assume the age.
    """

    version: WholeNumber
    age: Age
    observed: bool


class VersionHistoryMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Versions of models as known to one daemon.

    :param versions: versions of each model, the newest last.
    :param complete_for: seconds for which the daemon has seen every announced
        version; none: the daemon has not read the versions yet.
    """

    versions: dict[ModelName, list[VersionAnnouncement]]
    complete_for: Age | None


class LoadMessage(
    msgspec.Struct, frozen=True, kw_only=True, tag='load', omit_defaults=True
):
    """Requests of one daemon that are running at each target.

    :param daemon: the sender.
    :param counts: for each target the running requests, and those of them
        without an answer yet.
    :param namings: versions of models; none in most messages.
    :param store_lost: true while the store does not answer the sender.
    :param stable_for: seconds since the sender last knew of a store outage
        of the fleet; none: never.
    :param state: version of the desired state in force; zero: none, or not
        told by an older release.
    :param paces: paces that targets lately reported to the sender, where these
        are out of the ordinary; none in most messages.
    :param demand: demand of the callers of the sender on services that are
        scheduled by urgency; none: there is no such service.
    :param urgent: for each target the requests without an answer of the most
        urgent priority, and those of the second.
    :param retry: retries that the sender asks for or lends; none in most
        messages.
    :param excess: for targets with large requests, the tokens that these need
        in memory beyond the mean of their service.
    """

    daemon: DaemonId
    counts: Mapping[TargetName, tuple[Count, Count]]
    namings: VersionHistoryMessage | None = None
    store_lost: bool = False
    stable_for: Age | None = None
    state: WholeNumber = 0
    paces: PaceNewsMessage | None = None
    demand: Mapping[ServiceName, ServiceDemand] | None = None
    urgent: Mapping[TargetName, tuple[Count, Count]] = {}
    retry: RetryMessage | None = None
    excess: Mapping[TargetName, WholeNumber] = {}


class SwitchMessage(msgspec.Struct, frozen=True, kw_only=True, tag='switch'):
    """Notice of a loader that its engine changes its weights.

    :param address: address of the engine, ``ip:port``.
    :param seconds: how long the engine takes no requests; zero: the engine
        takes requests again.
    :param version: version of the weights after the change; zero: unchanged.
    :param model: model of the version; none: not told by an older release.
    """

    address: str
    seconds: SwitchSeconds
    version: WholeNumber
    model: ModelName | None = None
