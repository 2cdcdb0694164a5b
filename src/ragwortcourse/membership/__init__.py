"""Discovery of daemons and targets, and of planned stops among them."""
