"""Adapter to the users' platform: its names and formats end here."""
