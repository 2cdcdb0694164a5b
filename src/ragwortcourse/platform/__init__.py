"""Adapter to the users' platform.

Names and formats of the platform are used in this package only.
"""
