"""Error for content of other processes that can't be used."""


class UnreadableError(ValueError):
    """Content that another process wrote is not a message of its type."""
