"""Tests of :mod:`ragwortcourse.configuration.check`."""

import pytest

from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.toml_parsing import parse_configuration

DIGEST = 'ab' * 32
VALID = f"""
withdrawn_failure_domains = ["milano-a"]
withdrawn_targets = ["w-1"]
[[failure_domains]]
name = "milano-a"
region = "lombardia"
[[client_accounts]]
name = "desk"
weight = 2.5
key_sha256 = ["{DIGEST}"]
[[models]]
name = "redazione-llm"
model = "letters"
version = "1.0"
manifest_sha256 = "{DIGEST}"
failure_domains = ["milano-a"]
replicas = 3
batch = 2
limits = {{ cold = 1, warm = 8, queue = 0 }}
[[models.adapters]]
name = "gift"
version = "2"
manifest_sha256 = "{DIGEST}"
[[services]]
name = "abbonamenti"
failure_domains = ["milano-a"]
[[services.non_idempotent]]
method = "POST"
path_prefix = "/charge"
"""


class TestReadConfiguration:
    """Parsing and checks of a configuration file."""

    def test_sound(self):
        """A valid file is parsed to the configuration that it describes."""
        configuration = parse_configuration(VALID)
        assert isinstance(configuration, Configuration)
        assert configuration.models[0].limits.warm == 8

    @pytest.mark.parametrize(
        ('valid', 'invalid', 'places'),
        [
            ('region = "l', 'region = "/l', ['failure_domains[0].region']),
            ('weight = 2.5', 'weight = 0', ['client_accounts[0].weight']),
            ('weight = 2.5', 'weight = nan', ['client_accounts[0].weight']),
            ('cold = 1', 'cold = 9', ['models[0].limits.warm']),
            ('cold = 1', 'cold = 0', ['models[0].limits.cold']),
            ('queue = 0', 'queue = -1', ['models[0].limits.queue']),
            ('batch = 2', 'batch = 0', ['models[0].batch']),
            ('replicas = 3', 'replicas = "3"', ['models[0].replicas']),
            ('replicas = 3', 'replica = 3', ['models[0].replica']),
            ('"POST"', '"Post"', ['services[0].non_idempotent[0].method']),
            ('"/ch', '"ch', ['services[0].non_idempotent[0].path_prefix']),
            ('"abbonamenti"', '"redazione-llm"', ['services[0].name']),
            (
                '= ["milano-a"]\nw',
                '= ["x"]\nw',
                ['withdrawn_failure_domains[0]'],
            ),
            ('"w-1"', '"w 1"', ['withdrawn_targets[0]']),
            (
                f'key_sha256 = ["{DIGEST}"]',
                f'key_sha256 = ["{DIGEST}", "{DIGEST}", "?"]',
                [
                    'client_accounts[0].key_sha256[1]',
                    'client_accounts[0].key_sha256[2]',
                ],
            ),
            (
                'failure_domains = ["milano-a"]\nr',
                'failure_domains = []\nr',
                ['models[0].failure_domains'],
            ),
            (
                'name = "milano-a"',
                'name = "padova-a"',
                [
                    'models[0].failure_domains[0]',
                    'services[0].failure_domains[0]',
                    'withdrawn_failure_domains[0]',
                ],
            ),
            ('[[services]]', '[[services', ['(file)']),
        ],
    )
    def test_findings(self, valid: str, invalid: str, places: list[str]):
        """Each error has a finding with its place; one check reports all."""
        assert VALID.count(valid) >= 1
        findings = parse_configuration(VALID.replace(valid, invalid, 1))
        assert [finding.place for finding in findings] == places
        assert all(finding.allowed for finding in findings)
