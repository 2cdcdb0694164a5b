"""Logs, metrics and traces of a daemon."""
