"""Measurements, run by `make measure`."""
