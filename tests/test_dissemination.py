"""Tests of the datagrams that are meant for all daemons of a fleet."""

import random

import pytest

from ragwortcourse.forwarding.dissemination.audience import (
    SMALLEST_DOMAIN,
    Audience,
    choose_audience,
)
from ragwortcourse.forwarding.dissemination.broadcast import (
    PASS_ON,
    Broadcast,
)
from ragwortcourse.membership.relay_daemons import RelayRecord

DOMAINS = ('a', 'b', 'c')
ROUNDS = 10


def make_relays(in_domain: int) -> list[RelayRecord]:
    """Build the records of daemons, as many in each failure domain."""
    return [
        RelayRecord(
            daemon=f'{domain}-{number}',
            address=f'{domain}-{number}:1',
            failure_domain=domain,
            region=domain,
        )
        for domain in DOMAINS
        for number in range(in_domain)
    ]


class Fleet:
    """Daemons that send a message to all others in each round.

    :ivar far: number of datagrams between failure domains.
    :ivar heard: for each daemon the senders that it heard in the last round.
    :ivar dead: daemons that neither send nor receive.
    """

    def __init__(self, in_domain: int, *, known_dead: bool = True) -> None:
        self.relays = make_relays(in_domain)
        self.dead: set[str] = set()
        self.far = 0
        self.heard: dict[str, set[str]] = {}
        self._known_dead = known_dead
        self._rng = random.Random(7)
        self._broadcasts = {
            relay.address: Broadcast(send=self._build_sender(relay.address))
            for relay in self.relays
        }

    def play_round(self) -> None:
        """Let each living daemon send its name to all others."""
        self.heard = {relay.address: set() for relay in self.relays}
        for relay in self.relays:
            self._broadcasts[relay.address].audience = choose_audience(
                self.relays, own=relay, is_alive=self._is_alive, rng=self._rng
            )
        for relay in self.relays:
            if relay.address not in self.dead:
                sender = self._broadcasts[relay.address]
                sender.send_all(relay.address.encode())

    def list_missing(self) -> set[str]:
        """List the living daemons that did not hear all others."""
        living = self.heard.keys() - self.dead
        return {own for own in living if living - {own} - self.heard[own]}

    def _is_alive(self, daemon: str) -> bool:
        return not self._known_dead or f'{daemon}:1' not in self.dead

    def _build_sender(self, own: str):
        def send(content: bytes, address: str) -> None:
            self.far += own[0] != address[0]
            if address not in self.dead:
                heard = self._broadcasts[address].receive(content)
                self.heard[address].add(heard.decode())

        return send


class TestDissemination:
    """A message of each daemon to all others."""

    @pytest.mark.parametrize('in_domain', [1, 3, 14, 117])
    def test_all_hear_all(self, in_domain):
        """Nobody is left out, whatever the size of the fleet."""
        fleet = Fleet(in_domain)
        fleet.play_round()
        assert not fleet.list_missing()

    @pytest.mark.parametrize('in_domain', [14, 117])
    def test_datagrams_between_domains(self, in_domain):
        """Datagrams between domains grow with the daemons, not their square.

        Incident: the messages of 40 daemons were most of the bytes between
        regions on a quiet day, beside which the store's rows came late.
        """
        fleet = Fleet(in_domain)
        fleet.play_round()
        assert fleet.far == len(fleet.relays) * (len(DOMAINS) - 1)

    def test_dead_forwarder(self):
        """Each daemon hears each other soon though some die unnoticed.

        Without another forwarder in each round, a failure domain would hear
        nothing of a daemon until the death of its forwarder is known.
        """
        fleet = Fleet(14, known_dead=False)
        fleet.dead = {'b-0:1', 'b-1:1', 'b-2:1', 'c-5:1'}
        heard: dict[str, set[str]] = {}
        for _ in range(ROUNDS):
            fleet.play_round()
            for own, senders in fleet.heard.items():
                heard.setdefault(own, set()).update(senders)
        living = heard.keys() - fleet.dead
        assert all(living - {own} <= heard[own] for own in living)

    def test_few_alive(self):
        """Where few live, each gets its own datagram."""
        fleet = Fleet(SMALLEST_DOMAIN)
        fleet.dead = {'b-0:1'}
        fleet.play_round()
        assert not fleet.list_missing()

    def test_passed_on_once(self):
        """A datagram that was passed on is not passed on again."""
        sent = []
        broadcast = Broadcast(send=lambda content, to: sent.append(to))
        broadcast.audience = choose_audience(
            make_relays(3),
            own=make_relays(3)[0],
            is_alive=lambda daemon: True,
            rng=random.Random(1),
        )
        assert broadcast.receive(b'>{}') == b'{}'
        assert sent == ['a-1:1', 'a-2:1']
        assert broadcast.receive(b'{}') == b'{}'
        assert len(sent) == 2

    def test_two_marks(self):
        """A datagram with two marks is not passed on.

        Each receiver would send it to all others once more for each mark.
        """
        sent = []
        broadcast = Broadcast(send=lambda content, to: sent.append(to))
        broadcast.audience = Audience(near=('a-1:1', 'a-2:1'))
        assert broadcast.receive(PASS_ON * 2 + b'{}') == PASS_ON + b'{}'
        assert not sent
