"""Semantic check of a configuration."""

from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.finding import Finding


def check_configuration(configuration: Configuration) -> tuple[Finding, ...]:
    """All that is wrong with a configuration, each with its place."""
    del configuration
    return ()
