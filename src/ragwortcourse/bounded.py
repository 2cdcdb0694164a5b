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

WholeNumber = Annotated[int, Meta(ge=0, le=MAX_WHOLE)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
Amount = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]
Milliseconds = Annotated[float, Meta(ge=0, le=MAX_MILLISECONDS)]
# Negative for what is over.
MillisecondsLeft = Annotated[
    float, Meta(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)
]
