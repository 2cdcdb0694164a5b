"""Retry budget of the fleet, and its lending between entry daemons."""
