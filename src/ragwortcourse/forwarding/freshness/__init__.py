"""Age of what a daemon knows, measured against what other daemons know."""
