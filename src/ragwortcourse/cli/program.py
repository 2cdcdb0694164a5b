"""The ``ragwortcourse`` command."""

import click

from ragwortcourse.cli import (
    check_command,
    configuration_commands,
    crasher_commands,
    init_command,
    publish_command,
    status_commands,
    weights_commands,
    withdrawal_commands,
)


@click.group(context_settings={'help_option_names': ['-h', '--help']})
@click.version_option(package_name='ragwortcourse')
def main() -> None:
    """Operate ragwortcourse: weights and requests for bursts of traffic.

    Exit codes: 0 done; 1 refused, or findings; 2 wrong usage; 3 no entry
    daemon reached; 4 another operator's change went first; 5 outcome
    unknown.
    """


COMMANDS = (
    init_command.init,
    check_command.check,
    configuration_commands.apply,
    configuration_commands.show,
    configuration_commands.diff,
    status_commands.status,
    status_commands.explain,
    withdrawal_commands.withdraw,
    withdrawal_commands.return_part,
    publish_command.publish,
    weights_commands.replicas,
    weights_commands.cancel,
    crasher_commands.crashers,
)
main.commands.update({str(command.name): command for command in COMMANDS})
