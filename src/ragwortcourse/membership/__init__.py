"""Which daemons and targets there are, and which of them are leaving."""
