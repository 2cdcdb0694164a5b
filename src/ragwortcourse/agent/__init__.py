"""The agent beside each target: its gate, its attempts, its orders."""
