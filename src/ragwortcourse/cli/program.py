"""The ``ragwortcourse`` command."""

import click

from ragwortcourse.cli import configuration_commands, status_commands


@click.group(context_settings={'help_option_names': ['-h', '--help']})
@click.version_option(package_name='ragwortcourse')
def main() -> None:
    """Operate ragwortcourse: weights and requests for bursts of traffic.

    \b
    Exit codes: 0 done; 1 refused, or findings; 2 wrong usage; 3 no entry
    daemon reached; 4 another operator's change went first; 5 outcome
    unknown.
    """


for _command in (
    configuration_commands.check,
    configuration_commands.apply,
    configuration_commands.show,
    configuration_commands.diff,
    status_commands.status,
    status_commands.explain,
):
    main.add_command(_command)
