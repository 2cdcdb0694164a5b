"""Tests of :mod:`ragwortcourse.settings_file`."""

import re

import pytest
from click.testing import CliRunner

from fakes.fleet_parts import BOUNDS_TEXT, FORWARDER_TEXT
from ragwortcourse.daemon import main
from ragwortcourse.settings import Role, Settings
from ragwortcourse.settings_file import parse_settings, read_settings

ENTRY = """
role = "entry"
daemon = "entry-1"
host = "host-1"
failure_domain = "milano-a"
region = "lombardia"
[listen]
peers = "127.0.0.1:7001"
watch = "127.0.0.1:7002"
callers = "127.0.0.1:7003"
operators = "127.0.0.1:7004"
[entry]
"""
MANY_FAULTS = """
role = "agent"
daemon = "no spaces"
host = 7
region = "lombardia"
colour = "blue"
[listen]
peers = "localhost:7001"
[agent]
target = "llm-1"
target_url = "http://127.0.0.1:8000"
deployment = "llm"
"""


def list_places(text: str) -> set[str]:
    """Return the places of the findings in a text."""
    findings = parse_settings(text)
    assert not isinstance(findings, Settings)
    return {finding.place for finding in findings}


class TestSettingsFile:
    """Validation of a settings file."""

    def test_sound_file_is_read(self, tmp_path):
        """A valid file gives settings."""
        path = tmp_path / 'entry.toml'
        path.write_text(ENTRY)
        settings = read_settings(path)
        assert isinstance(settings, Settings)
        assert settings.role is Role.ENTRY

    def test_structure_findings_come_together(self):
        """Unknown and missing keys and wrong types are reported together."""
        assert list_places(MANY_FAULTS) == {
            'host',
            'failure_domain',
            'colour',
            'listen.watch',
        }

    @pytest.mark.parametrize(
        ('old', 'new', 'place'),
        [
            ('127.0.0.1:7001', 'localhost:7001', 'listen.peers'),
            ('127.0.0.1:7003', '127.0.0.1:70003', 'listen.callers'),
            ('"entry-1"', '"entry 1"', 'daemon'),
            ('[entry]', '', 'entry'),
            ('[entry]', '[entry]\noperator_key_sha256 = ["ab"]',
             'entry.operator_key_sha256[0]'),
            ('[entry]', '[entry]\n[telemetry]\notlp = "localhost"',
             'telemetry.otlp'),
            ('[entry]', '[entry]\n[telemetry]\nlog_level = "LOUD"',
             'telemetry.log_level'),
            ('[listen]', '[listen', '(file)'),
            ('"entry"\n', '"porter"\n', 'role'),
            ('[entry]', '[[known]]\naddress = 3', 'known[0].address'),
        ],
    )  # fmt: skip
    def test_each_fault_is_found_at_its_place(self, old, new, place):
        """Each finding names the key of the fault."""
        assert place in list_places(ENTRY.replace(old, new, 1))

    def test_unreadable_file_is_a_finding(self, tmp_path):
        """A missing file gives a finding, not an exception."""
        findings = read_settings(tmp_path / 'none.toml')
        assert not isinstance(findings, Settings)
        assert 'none.toml' in findings[0].place


FORWARDER = FORWARDER_TEXT.format(
    peers='127.0.0.1:7001',
    watch='127.0.0.1:7002',
    callers='127.0.0.1:7003',
    store='127.0.0.1:7004',
)
BOUNDS = tuple(
    line.partition(' = ')[0]
    for line in BOUNDS_TEXT.splitlines()
    if not line.endswith('true')
)
LOADER = (
    FORWARDER.replace('"forwarder"', '"loader"')
    + '[loader]\nengine = "127.0.0.1:7005"\nservice = "m"\nlink_mbps = 5\n'
)


class TestNumbersOfOperators:
    """Numbers that operators give, whole or as fractions."""

    @pytest.mark.parametrize('number', ['37', '37.0', '37.83', '0.5', '4e3'])
    @pytest.mark.parametrize('key', BOUNDS)
    def test_daemon_did_not_start_with_a_fraction(self, key, number):
        """Each bound of the fleet may be whole or a fraction."""
        text = re.sub(f'(?m)^{key} = .*$', f'{key} = {number}', FORWARDER)
        settings = parse_settings(text)
        assert isinstance(settings, Settings)
        assert getattr(settings.fleet, key) == float(number)

    @pytest.mark.parametrize('number', ['5', '4.7', '0.009'])
    def test_bandwidth_of_a_loader(self, number):
        """The bandwidth of a link may be whole or a fraction."""
        text = LOADER.replace('link_mbps = 5', f'link_mbps = {number}')
        settings = parse_settings(text)
        assert isinstance(settings, Settings)
        assert settings.loader.link_mbps == float(number)

    @pytest.mark.parametrize('number', ['-1', '-0.5', 'nan', 'inf'])
    @pytest.mark.parametrize('key', BOUNDS)
    def test_number_out_of_range_is_found(self, key, number):
        """A bound that no daemon can keep is a finding at its key."""
        text = re.sub(f'(?m)^{key} = .*$', f'{key} = {number}', FORWARDER)
        assert list_places(text) == {f'fleet.{key}'}

    @pytest.mark.parametrize('number', ['0', '-1', 'nan', 'inf'])
    def test_loader_without_bandwidth_is_found(self, number):
        """A loader needs a link that carries something."""
        text = LOADER.replace('link_mbps = 5', f'link_mbps = {number}')
        assert list_places(text) == {'loader.link_mbps'}


class TestDaemonSettings:
    """Command ``ragwortcoursed`` with an invalid file."""

    def test_each_finding_is_a_line_with_file_and_place(self, tmp_path):
        """Exit code 2 and one line per finding with file, key and value."""
        path = tmp_path / 'bad.toml'
        path.write_text(MANY_FAULTS)
        result = CliRunner().invoke(main, ['--settings', str(path)])
        assert result.exit_code == 2
        assert f'{path}: host = 7: wrong type; allowed: a str' in result.stderr
        assert len(result.stderr.splitlines()) == 4
