"""Typed ports to model engines and plain services."""
