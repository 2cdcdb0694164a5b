"""Run the ``ragwortcourse`` command by ``python -m ragwortcourse.cli``."""

from ragwortcourse.cli.program import main

main(prog_name='ragwortcourse')
