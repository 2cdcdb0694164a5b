"""The ragwortcourse command line."""
