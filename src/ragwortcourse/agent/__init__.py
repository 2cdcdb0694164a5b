"""The agent beside each target: admission, attempts and status."""
