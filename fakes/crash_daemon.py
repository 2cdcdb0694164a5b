"""Crash guard of one daemon, without requests or sockets."""

import asyncio
import random

import msgspec

from fakes.fleet_parts import make_plain, make_state
from ragwortcourse.clock import read_clock_with_suspend
from ragwortcourse.crashes.suspect import Suspect, SuspectKind
from ragwortcourse.crashes.verdict import Verdict
from ragwortcourse.forwarding.crash_admission import CrashAdmission
from ragwortcourse.forwarding.crash_exchange import (
    build_crash_sender,
    note_reports,
)
from ragwortcourse.forwarding.crash_guard import CrashGuard
from ragwortcourse.forwarding.crash_messages import CrashMessage
from ragwortcourse.forwarding.lost_run import LostRun, RunEnd
from ragwortcourse.identifiers import DaemonId, TargetName


def make_request(name: str) -> Suspect:
    """Build a suspect request."""
    return Suspect(kind=SuspectKind.REQUEST, name=name)


def make_part(name: str) -> Suspect:
    """Build a suspect part of prompts."""
    return Suspect(kind=SuspectKind.PROMPT_PART, name=name)


REQUEST = make_request('request')


class CrashDaemon:
    """Crash guard of one daemon that lists some targets.

    :param name: name of the daemon.
    :param daemons: number of daemons.
    """

    def __init__(self, *names: str, name: str = 'e1', daemons: int = 3) -> None:
        self.name = name
        self.state = make_state(*(make_plain(each) for each in names))
        self.answered: dict[str, float] = {}
        self.guard = CrashGuard(state=self.state, find_answered=self.find)
        self.admission = CrashAdmission(
            guard=self.guard,
            own=DaemonId(name),
            count_daemons=lambda: daemons,
        )
        self.sent: list[tuple[bytes, str]] = []
        self.sender = build_crash_sender(
            guard=self.guard,
            daemon=DaemonId(name),
            rng=random.Random(name),
            send=lambda content, address: self.sent.append((content, address)),
        )

    @property
    def verdict(self) -> Verdict:
        """Verdict on the request."""
        return self.guard.judge(REQUEST).verdict

    def find(self, name: TargetName, born: int) -> float:
        """Find when an answered request was sent."""
        return self.answered.get(name, -1)

    async def lose(
        self, name: str, *suspects: Suspect, end: RunEnd = RunEnd.CUT
    ) -> None:
        """Lose the answer of a target to a request after 0.1 s."""
        sent_at = read_clock_with_suspend()
        await asyncio.sleep(0.1)
        self.cut(name, *suspects, sent_at=sent_at, end=end)

    def cut(
        self,
        name: str,
        *suspects: Suspect,
        sent_at: float,
        end: RunEnd = RunEnd.CUT,
    ) -> None:
        """Lose the answer of a target to a request now."""
        now = read_clock_with_suspend()
        run = LostRun(
            target=TargetName(name),
            born=1,
            sent_at=sent_at,
            lost_at=now,
            end=end,
            ended_at=now,
        )
        self.guard.note_lost(suspects or (REQUEST,), run)

    def end(self, name: str) -> None:
        """Remove the row of a target."""
        self.state.targets.pop(TargetName(name), None)

    def receive(self, content: bytes) -> None:
        """Apply one message of another daemon."""
        note_reports(
            self.guard, msgspec.json.decode(content, type=CrashMessage)
        )

    def deliver(self, other: 'CrashDaemon') -> None:
        """Deliver all messages sent so far to another daemon."""
        for content, _ in self.sent:
            other.receive(content)
