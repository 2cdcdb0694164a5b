"""Numbers in messages of other processes, within bounds that mean something.

JSON has whole numbers of any length, and a decoder takes each that fits the
type. The bounds are far above what any fleet states, and keep sums, products
and conversions of such numbers finite.
"""

from typing import Annotated, Final

from msgspec import Meta

# The highest to which floating-point numbers count in steps of one.
MAX_WHOLE: Final = 9_007_199_254_740_992
MAX_COUNT: Final = 1_000_000
# In milliseconds, some decades.
MAX_MILLISECONDS: Final = 1e12
# Of weights, rates and means.
MAX_AMOUNT: Final = 1e12
# Ages in seconds: below zero by no more than rounding and transit.
MIN_AGE: Final = -1.0
MAX_AGE: Final = 1e9
# From a hundredth of the usual time to a hundred times as long.
MIN_PACE: Final = 0.01
MAX_PACE: Final = 100.0
MAX_SWITCH: Final = 86_400.0
# Of 18 digits, as an era is read from a header.
MAX_ERA: Final = 999_999_999_999_999_999

WholeNumber = Annotated[int, Meta(ge=0, le=MAX_WHOLE)]
Era = Annotated[int, Meta(ge=0, le=MAX_ERA)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Amount = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]
# As targets name it, which state any finite rate.
Rate = Annotated[float, Meta(ge=0)]
Milliseconds = Annotated[float, Meta(ge=0, le=MAX_MILLISECONDS)]
# Time that work takes, as a multiple of the usual time.
Pace = Annotated[float, Meta(ge=MIN_PACE, le=MAX_PACE)]
# An engine changes its weights within a day.
SwitchSeconds = Annotated[float, Meta(ge=0, le=MAX_SWITCH)]
Age = Annotated[float, Meta(ge=MIN_AGE, le=MAX_AGE)]
# Differences of times on one clock.
Seconds = Annotated[float, Meta(ge=-MAX_AGE, le=MAX_AGE)]
# Of a clock with any beginning, also the epoch.
ClockMilliseconds = Annotated[float, Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
# Negative for what is over.
MillisecondsLeft = Annotated[
    float, Meta(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)
]
