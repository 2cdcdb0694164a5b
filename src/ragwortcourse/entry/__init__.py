"""Entry daemons: HTTP API for callers and operators, routing, retries."""
