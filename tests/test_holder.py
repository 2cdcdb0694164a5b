"""Tests of :mod:`ragwortcourse.configuration.holder`."""

from ragwortcourse.configuration.configuration import (
    Configuration,
    ConfigurationDocument,
)
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.identifiers import ChangeId, Generation


def make_document(generation: int) -> ConfigurationDocument:
    """A document with nothing in it."""
    return ConfigurationDocument(
        generation=Generation(generation),
        configuration=Configuration(),
        change=ChangeId(f'change-{generation}'),
    )


class TestConfigurationHolder:
    """What is in force in a process."""

    def test_lower_generation_is_not_taken(self):
        """A daemon never goes back to a lower generation."""
        holder = ConfigurationHolder()
        assert holder.update_if_newer(make_document(3))
        assert not holder.update_if_newer(make_document(2))
        assert holder.generation == 3
