"""Placement by the expected time of an answer."""
