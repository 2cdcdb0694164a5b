"""Tests of :mod:`ragwortcourse.configuration.holder`."""

from ragwortcourse.configuration.configuration import (
    Configuration,
    ConfigurationDocument,
)
from ragwortcourse.configuration.holder import ConfigurationHolder
from ragwortcourse.identifiers import ChangeId, Generation


def make_document(generation: int) -> ConfigurationDocument:
    """Build a document with an empty configuration."""
    return ConfigurationDocument(
        generation=Generation(generation),
        configuration=Configuration(),
        change=ChangeId(f'change-{generation}'),
    )


class TestConfigurationHolder:
    """Choice of the generation in force."""

    def test_lower_generation_is_not_taken(self):
        """A document of a lower generation is not put in force."""
        holder = ConfigurationHolder()
        assert holder.update_if_newer(make_document(3))
        assert not holder.update_if_newer(make_document(2))
        assert holder.generation == 3
