"""Sending of the same datagram to all daemons of a fleet."""
