"""Forwarding of requests from entry daemons directly to targets."""
