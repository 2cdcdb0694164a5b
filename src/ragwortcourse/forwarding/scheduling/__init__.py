"""Admission by urgency and the waiting queue of a daemon."""
