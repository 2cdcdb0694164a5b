"""Typed ports to the platform, each with one HTTP adapter."""
