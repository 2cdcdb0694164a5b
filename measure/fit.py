"""A straight line through measured points, with the error of its slope."""

import dataclasses
import math
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """Least squares.

    :param error: standard error of the slope; needs three points or more.
    """

    slope: float
    error: float
    start: float


def fit_line(sizes: Sequence[float], found: Sequence[float]) -> Line:
    """The line of least squares through the points."""
    count = len(sizes)
    middle = math.fsum(sizes) / count
    height = math.fsum(found) / count
    spread = math.fsum((size - middle) ** 2 for size in sizes)
    pairs = zip(sizes, found, strict=True)
    slope = math.fsum((x - middle) * (y - height) for x, y in pairs) / spread
    start = height - slope * middle
    rest = math.fsum(
        (y - start - slope * x) ** 2 for x, y in zip(sizes, found, strict=True)
    )
    error = math.sqrt(rest / (count - 2) / spread) if count > 2 else math.nan
    return Line(slope=slope, error=error, start=start)
