"""Records of entry daemons that relay chunks to loaders."""

import msgspec

from ragwortcourse.identifiers import (
    DaemonId,
    FailureDomainName,
    RegionName,
)
from ragwortcourse.settings import Settings


class RelayRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Address and location of an entry daemon, for other daemons.

    :param address: ``ip:port`` of the port for other daemons.
    """

    daemon: DaemonId
    address: str
    failure_domain: FailureDomainName
    region: RegionName


def describe_daemon(settings: Settings) -> RelayRecord:
    """Build the record of the daemon with these settings."""
    return RelayRecord(
        daemon=settings.daemon,
        address=settings.listen.peers,
        failure_domain=settings.failure_domain,
        region=settings.region,
    )
