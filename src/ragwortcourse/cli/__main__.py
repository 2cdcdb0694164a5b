"""``python -m ragwortcourse.cli`` is the ``ragwortcourse`` command."""

from ragwortcourse.cli.program import main

main(prog_name='ragwortcourse')
