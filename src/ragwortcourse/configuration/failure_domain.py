"""A failure domain and the region it lies in."""

import msgspec

from ragwortcourse.identifiers import FailureDomainName, RegionName


class FailureDomain(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A group of hosts that fail, leave and return together."""

    name: FailureDomainName
    region: RegionName
