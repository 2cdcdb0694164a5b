"""Least-squares fit of a line, with the standard error of its slope."""

import dataclasses
import math
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """A line fitted by least squares.

    :ivar slope: change of the reading per unit of size.
    :ivar error: standard error of the slope; NaN below three points.
    :ivar start: value at size zero.
    """

    slope: float
    error: float
    start: float


def fit_line(sizes: Sequence[float], found: Sequence[float]) -> Line:
    """Fit a line by least squares.

    :param sizes: horizontal coordinates of the points.
    :param found: vertical coordinates, one for each size.
    """
    count = len(sizes)
    mean_size = math.fsum(sizes) / count
    mean_found = math.fsum(found) / count
    spread = math.fsum((size - mean_size) ** 2 for size in sizes)
    pairs = zip(sizes, found, strict=True)
    slope = (
        math.fsum((x - mean_size) * (y - mean_found) for x, y in pairs) / spread
    )
    start = mean_found - slope * mean_size
    residual = math.fsum(
        (y - start - slope * x) ** 2 for x, y in zip(sizes, found, strict=True)
    )
    error = (
        math.sqrt(residual / (count - 2) / spread) if count > 2 else math.nan
    )
    return Line(slope=slope, error=error, start=start)
