"""``python -m ragwortcourse.cli``: the command line without its script."""

from ragwortcourse.cli.program import main

main()
