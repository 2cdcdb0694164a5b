"""Paces of targets in the load messages between entry daemons.

Load pattern: messages cross narrow links between regions many times a second.
They carry no more than the reports of the last moments that are out of the
ordinary.
"""

from collections.abc import Mapping
from typing import Final

from ragwortcourse.bounded import Age, Pace
from ragwortcourse.forwarding.balancing.target_paces import TargetPaces
from ragwortcourse.identifiers import TargetName

# Digits after the decimal point: hundredths of seconds and of the usual time.
DIGITS: Final = 2

# For each target its pace, and the seconds since it reported it.
PaceNewsMessage = Mapping[TargetName, tuple[Pace, Age]]


def encode_news(
    paces: TargetPaces, *, now: float, seconds: float
) -> PaceNewsMessage | None:
    """Encode the news of the last moments.

    :param seconds: age of the oldest report that is told.
    :return: none if there is no news.
    """
    paces.drop_news(now)
    news = {
        target: (round(pace, DIGITS), round(now - at, DIGITS))
        for target, pace, at in paces.list_news(now - seconds)
    }
    return news or None


def note_news(
    paces: TargetPaces, message: PaceNewsMessage | None, now: float
) -> None:
    """Apply the news of another daemon, as of the time of its reports."""
    if message is not None:
        paces.note_news(
            (target, pace, now - max(age, 0))
            for target, (pace, age) in message.items()
        )
