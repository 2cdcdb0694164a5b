"""Entry daemons: HTTP for callers and operators, routing, retries."""
