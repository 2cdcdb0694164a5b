"""The ``ragwortcourse`` command line for operators."""
