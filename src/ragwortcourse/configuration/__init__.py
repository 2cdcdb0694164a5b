"""Configuration set by operators, and its distribution to every daemon."""
