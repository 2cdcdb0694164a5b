"""Weights from the origin to every engine a deployment names."""
