"""Tests of :mod:`ragwortcourse.configuration.version_check`."""

import msgspec
import pytest

from ragwortcourse.configuration.check import check_configuration
from ragwortcourse.configuration.deployment import Adapter, ModelDeployment
from ragwortcourse.messages.operator import ConfigurationChange
from tests.test_operators import VALID_CONFIGURATION, Console, open_console

ONE, OTHER = '1' * 64, '2' * 64
DRAFTS = ModelDeployment(
    name='drafts',
    model='drafts',
    version='v1',
    manifest_sha256=ONE,
    failure_domains=('milano-a',),
)
SECOND = msgspec.structs.replace(DRAFTS, name='second')


def name_models(*models: ModelDeployment):
    """Build a configuration with these models."""
    return msgspec.structs.replace(VALID_CONFIGURATION, models=models)


def add_adapter(version: str, digest: str) -> ModelDeployment:
    """Build the model deployment with an adapter."""
    adapter = Adapter(name='tone', version=version, manifest_sha256=digest)
    return msgspec.structs.replace(DRAFTS, adapters=(adapter,))


class TestOneConfiguration:
    """Two uses of a version in one configuration."""

    def test_other_digest_is_refused(self):
        """The finding has the place and digest of the second use."""
        second = msgspec.structs.replace(SECOND, manifest_sha256=OTHER)
        (finding,) = check_configuration(name_models(DRAFTS, second))
        assert finding.place == 'models[1].manifest_sha256'
        assert OTHER[:50] in finding.value
        assert ONE in finding.allowed

    def test_same_digest_is_sound(self):
        """Two deployments may use a version with the same digest."""
        assert not check_configuration(name_models(DRAFTS, SECOND))


class TestNextConfiguration:
    """A change that gives another digest to a version in force."""

    @pytest.mark.parametrize(
        ('before', 'after', 'place'),
        [
            (
                DRAFTS,
                msgspec.structs.replace(SECOND, manifest_sha256=OTHER),
                'configuration.models[0].manifest_sha256',
            ),
            (
                add_adapter('a1', ONE),
                add_adapter('a1', OTHER),
                'configuration.models[0].adapters[0].manifest_sha256',
            ),
        ],
    )
    async def test_is_refused(self, before, after, place):
        """The change is refused with a finding and has no effect."""
        async with open_console() as console:
            assert (await self.apply(console, before, 0))[0] == 200
            status, answer = await self.apply(console, after, 1)
            assert status == 400
            (finding,) = answer['findings']
            assert finding['place'] == place
            assert OTHER[:50] in finding['value']
            assert console.daemon.holder.generation == 1

    async def test_next_version_is_accepted(self):
        """Another digest is accepted under a new version."""
        async with open_console() as console:
            await self.apply(console, add_adapter('a1', ONE), 0)
            after = add_adapter('a2', OTHER)
            assert (await self.apply(console, after, 1))[0] == 200

    async def apply(self, console: Console, model: ModelDeployment, base: int):
        """Send a configuration with one model deployment."""
        body = ConfigurationChange(
            base_generation=base,
            configuration=name_models(model),
            change=f'c-{base}',
        )
        return await console.ask('POST', '/configuration', body)
