"""Tests of :mod:`ragwortcourse.configuration.version_check`."""

import msgspec
import pytest

from ragwortcourse.configuration.check import check_configuration
from ragwortcourse.configuration.deployment import Adapter, ModelDeployment
from ragwortcourse.messages.operator import ConfigurationChange
from tests.test_operators import SOUND, Console, open_console

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
    """A configuration of such models."""
    return msgspec.structs.replace(SOUND, models=models)


def carry_adapter(version: str, digest: str) -> ModelDeployment:
    """The model with an adapter."""
    adapter = Adapter(name='tone', version=version, manifest_sha256=digest)
    return msgspec.structs.replace(DRAFTS, adapters=(adapter,))


class TestOneConfiguration:
    """A version named at two places."""

    def test_other_digest_is_refused(self):
        """The second place is the finding, the digest its value."""
        second = msgspec.structs.replace(SECOND, manifest_sha256=OTHER)
        (finding,) = check_configuration(name_models(DRAFTS, second))
        assert finding.place == 'models[1].manifest_sha256'
        assert OTHER[:50] in finding.value
        assert ONE in finding.allowed

    def test_same_digest_is_sound(self):
        """Two deployments may share a version."""
        assert not check_configuration(name_models(DRAFTS, SECOND))


class TestNextConfiguration:
    """A version that is in force, given another digest."""

    @pytest.mark.parametrize(
        ('before', 'after', 'place'),
        [
            (
                DRAFTS,
                msgspec.structs.replace(SECOND, manifest_sha256=OTHER),
                'configuration.models[0].manifest_sha256',
            ),
            (
                carry_adapter('a1', ONE),
                carry_adapter('a1', OTHER),
                'configuration.models[0].adapters[0].manifest_sha256',
            ),
        ],
    )
    async def test_is_refused(self, before, after, place):
        """It changes nothing, and the finding has place and value."""
        async with open_console() as console:
            assert (await self.apply(console, before, 0))[0] == 200
            status, answer = await self.apply(console, after, 1)
            assert status == 400
            (finding,) = answer['findings']
            assert finding['place'] == place
            assert OTHER[:50] in finding['value']
            assert console.daemon.holder.generation == 1

    async def test_next_version_is_accepted(self):
        """Another digest comes with another version."""
        async with open_console() as console:
            await self.apply(console, carry_adapter('a1', ONE), 0)
            after = carry_adapter('a2', OTHER)
            assert (await self.apply(console, after, 1))[0] == 200

    async def apply(self, console: Console, model: ModelDeployment, base: int):
        """Send a configuration with one model."""
        body = ConfigurationChange(
            base_generation=base,
            configuration=name_models(model),
            change=f'c-{base}',
        )
        return await console.ask('POST', '/configuration', body)
