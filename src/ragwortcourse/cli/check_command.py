"""The command that checks a configuration or a desired state.

Load pattern: an operator writes a state that every daemon takes within
seconds, and learns from refusals what is wrong with it.
"""

import pathlib
from typing import Any, Final

import click
import msgspec
from click.exceptions import Exit

from ragwortcourse.cli.configuration_commands import (
    FILE_ARGUMENT,
    compare,
    read_current,
)
from ragwortcourse.cli.configuration_file import read_file
from ragwortcourse.cli.connection import Connection, accept_connection
from ragwortcourse.cli.exit_code import ExitCode
from ragwortcourse.cli.output import accept_json, print_findings, print_json
from ragwortcourse.cli.state_in_force import read_state_in_force
from ragwortcourse.configuration.configuration import Configuration
from ragwortcourse.configuration.effect_check import check_effects
from ragwortcourse.configuration.finding import Finding
from ragwortcourse.configuration.rules import build_finding
from ragwortcourse.platform.state_check import check_state, parse_state
from ragwortcourse.platform.state_difference import list_differences
from ragwortcourse.settings import FleetSettings, Settings
from ragwortcourse.settings_file import read_settings
from ragwortcourse.unreadable import UnreadableError

STATE_SUFFIX: Final = '.json'
# Place of a finding about the file as a whole: it can't be parsed.
WHOLE_FILE: Final = frozenset(('', '(file)'))


class CheckReport(msgspec.Struct, frozen=True, kw_only=True):
    """Output of ``check --json``.

    :param sound: true without findings.
    :param in_force: version or generation that the file was compared with;
        none if it was not, or if none is in force.
    :param differences: from what is in force to the file.
    """

    file: str
    sound: bool
    findings: tuple[Finding, ...] = ()
    in_force: int | None = None
    differences: tuple[str, ...] = ()


@click.command()
@FILE_ARGUMENT
@click.option(
    '--in-force',
    is_flag=True,
    help='Compare with what is in force: a configuration with that of an '
    'entry daemon, a desired state with that in the store.',
)
@click.option(
    '--settings',
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
    help='Settings of a forwarder, which name the store and the regions of '
    'failure domains that a desired state refers to.',
)
@accept_connection
@accept_json
def check(
    *,
    file: pathlib.Path,
    in_force: bool,
    settings: pathlib.Path | None,
    connection: Connection,
    as_json: bool,
) -> None:
    """Check a file before it is put in force; report every finding at once.

    FILE is a configuration in TOML, or a desired state as the platform's
    store holds it (.json). Findings are errors, entries that no request can
    match, and limits that contradict each other. Differences from what is in
    force are shown, and are no findings.

    Exit code 0: no findings. 1: findings, one a line: file, key, value, what
    is allowed. 2: wrong usage, or the file can't be read. 3: nothing reached
    to compare with.

    Example: ragwortcourse check state.json --settings forwarder.toml
    --in-force
    """
    if file.suffix == STATE_SUFFIX:
        fleet = None if settings is None else _require_fleet(settings)
        if in_force and fleet is None:
            raise click.UsageError('--in-force needs --settings here')
        report = _check_state_file(
            file, fleet, connection, in_force=in_force, as_json=as_json
        )
    else:
        report = _check_configuration_file(
            file, connection if in_force else None, as_json=as_json
        )
    show_report(report, as_json=as_json)


def show_report(report: CheckReport, *, as_json: bool) -> None:
    """Show a report, and end with the exit code that it calls for."""
    if as_json:
        print_json(report)
    else:
        print_findings(report.findings, report.file)
        for line in report.differences:
            click.echo(line)
        count = len(report.findings)
        verdict = f'{count} findings' if count else 'sound'
        click.echo(f'{report.file}: {verdict}')
    if not report.findings:
        return
    is_unread = any(each.place in WHOLE_FILE for each in report.findings)
    raise Exit(ExitCode.USAGE if is_unread else ExitCode.REFUSED)


def _check_configuration_file(
    file: pathlib.Path, connection: Connection | None, *, as_json: bool
) -> CheckReport:
    found = read_file(file)
    if not isinstance(found, Configuration):
        return CheckReport(file=str(file), sound=False, findings=found)
    findings = check_effects(found)
    report = CheckReport(file=str(file), sound=not findings, findings=findings)
    if connection is None:
        return report
    difference = compare(read_current(connection, as_json=as_json), found)
    return msgspec.structs.replace(
        report,
        in_force=difference.generation,
        differences=difference.lines,
    )


def _check_state_file(
    file: pathlib.Path,
    fleet: FleetSettings | None,
    connection: Connection,
    *,
    in_force: bool,
    as_json: bool,
) -> CheckReport:
    try:
        raw = parse_state(file.read_bytes())
    except (OSError, UnreadableError) as error:
        unread = build_finding('(file)', '', 'a JSON object', str(error))
        return CheckReport(file=str(file), sound=False, findings=(unread,))
    domains = None if fleet is None else fleet.failure_domains
    findings = check_state(raw, domains)
    report = CheckReport(file=str(file), sound=not findings, findings=findings)
    if not in_force or fleet is None:
        return report
    current = read_state_in_force(
        fleet.store, connection.timeout, as_json=as_json
    )
    return report if current is None else _compare_state(report, current, raw)


def _compare_state(
    report: CheckReport, current: dict[str, Any], raw: dict[str, Any]
) -> CheckReport:
    """Add the differences from the state in force to a report."""
    differences = list_differences(current, raw)
    version, wanted = current.get('version'), raw.get('version')
    findings = report.findings
    is_older = (
        isinstance(version, int)
        and isinstance(wanted, int)
        and wanted <= version
    )
    if differences and is_older:
        findings += (
            build_finding(
                'version',
                wanted,
                f'above {version}, which is in force',
                'no daemon takes it',
            ),
        )
    return msgspec.structs.replace(
        report,
        sound=not findings,
        findings=findings,
        in_force=version if isinstance(version, int) else None,
        differences=tuple(
            f'{each.place}: {each.before} -> {each.after}'
            for each in differences
        ),
    )


def _require_fleet(path: pathlib.Path) -> FleetSettings:
    """Read the section ``[fleet]`` of a daemon's settings.

    :raises UsageError: there is none, or the settings are unsound.
    """
    found = read_settings(path)
    if isinstance(found, Settings) and found.fleet is not None:
        return found.fleet
    raise click.UsageError(f'{path}: no sound settings with [fleet]')
