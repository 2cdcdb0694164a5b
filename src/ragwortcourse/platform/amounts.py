"""Numbers in headers."""

import math


def read_amount(text: str) -> float | None:
    """Read a finite number that is not negative; none for anything else."""
    try:
        amount = float(text)
    except ValueError:
        return None
    return amount if math.isfinite(amount) and amount >= 0 else None
