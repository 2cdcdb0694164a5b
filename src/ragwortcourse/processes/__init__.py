"""The two daemons, put together from their parts."""
