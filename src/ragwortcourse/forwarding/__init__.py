"""Requests sent straight from entry daemons to targets."""
