"""Tests of the lending of retries, in replays of many daemons."""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fakes.retry_fleet import RetryFleet, build_fleet
from ragwortcourse.forwarding.retries.borrowed_retries import (
    VALID_SECONDS,
    BorrowedRetries,
)
from ragwortcourse.forwarding.retries.lent_retries import LentRetries
from ragwortcourse.forwarding.retries.retry_messages import RetryAsk, RetryGrant

DAEMONS = 41
RESERVE = 222
WINDOW = 10.0
FEW = 8
FAULTS = ('fail', 'freeze', 'cut', 'end', 'restart', 'join')
# Of a fleet of eight whose daemons use eight tenths of the limit: a joined one
# takes one of these more until others know of it, a restarted one a quarter.
MOST = {'join': 1, 'restart': 4}
HOLD_SECONDS = WINDOW + VALID_SECONDS
ASK = RetryAsk(ask='a-0', amount=3)


def open_large(loss: float = 0.0, seed: int = 1) -> RetryFleet:
    """Build the fleet of an uneven deployment; its daemons know each other."""
    fleet = RetryFleet(
        count=DAEMONS, fleet=build_fleet(RESERVE), loss=loss, seed=seed
    )
    fleet.run(1)
    return fleet


def play(fleet: RetryFleet, fault: str, number: int, seconds: float) -> None:
    """Let one fault happen."""
    daemon = fleet.daemons[number]
    if fault == 'fail':
        fleet.fail(number, 40)
    elif fault == 'freeze':
        daemon.frozen_until = fleet.now + seconds
    elif fault == 'cut':
        daemon.cut_until = fleet.now + seconds
    elif fault == 'end':
        daemon.ended = True
    elif fault == 'restart':
        fleet.restart(number)
    else:
        fleet.join()


class TestLargeFleet:
    """Replays of 41 daemons."""

    @pytest.mark.parametrize('seed', range(5))
    @pytest.mark.parametrize('loss', [0, 0.1])
    def test_failures_at_one_daemon_are_not_retried(self, loss, seed):
        """LOST: a daemon had four retries, and 40 others used none."""
        fleet = open_large(loss, seed)
        fleet.fail(0, 20)
        assert len(fleet.retries) == 4
        fleet.run(1)
        assert (len(fleet.retries), fleet.denied) == (20, 0)

    def test_lenders_wait_for_messages(self):
        """LOST: the first failure at a lender had to wait for others."""
        fleet = open_large()
        fleet.fail(0, 100)
        fleet.run(1)
        begun = len(fleet.retries)
        assert begun > RESERVE / 3
        for number in range(1, DAEMONS):
            fleet.fail(number, 1)
        assert len(fleet.retries) == begun + DAEMONS - 1

    def test_few_daemons_use_what_others_leave(self):
        """LOST: failures at three daemons found a tenth of the budget."""
        fleet = open_large()
        for _ in range(20):
            for number in range(3):
                fleet.fail(number, 1)
            fleet.run(0.5)
        assert fleet.denied == 0
        assert fleet.find_excess() <= 0

    @pytest.mark.parametrize('seed', range(10))
    def test_sum_keeps_the_limit(self, seed):
        """BUDGET: faults beside failures let the sum exceed the limit."""
        fleet = open_large(loss=0.15, seed=seed)
        draw = fleet.rng

        def step() -> None:
            for number in range(len(fleet.daemons)):
                fleet.try_first(number, draw.random() < 0.5)
            fleet.fail(draw.randrange(6), draw.randrange(12))
            if draw.random() < 0.1:
                fault = draw.choice(FAULTS[1:5])
                play(fleet, fault, draw.randrange(DAEMONS), draw.uniform(1, 15))

        fleet.run(10, step)
        fleet.join()
        fleet.run(50, step)
        assert fleet.find_excess() <= 0
        assert len(fleet.retries) > RESERVE


class TestSum:
    """Sum of the retries of few daemons beside any faults."""

    @settings(
        max_examples=150,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('fail', *FAULTS)),
                st.integers(0, FEW - 1),
                st.floats(0.1, 15),
            ),
            max_size=25,
        ),
        st.sampled_from([0, 0.2, 0.5]),
        st.integers(0, 1000),
    )
    def test_keeps_the_limit(self, faults, loss, seed):
        """BUDGET: without first tries a window had more than the reserve."""
        fleet = RetryFleet(
            count=FEW, fleet=build_fleet(40), loss=loss, seed=seed
        )
        fleet.run(1)
        left = {**MOST}
        for fault, number, seconds in faults:
            if fault in left:
                left[fault] -= 1
            if left.get(fault, 0) >= 0:
                play(fleet, fault, number, seconds)
            fleet.run(seconds / 5)
        for number in range(FEW):
            fleet.fail(number, 40)
        fleet.run(2)
        assert fleet.find_excess() <= 0

    def test_restarted_daemons_use_their_share_again(self):
        """BUDGET: a restart forgot the retries of the predecessor."""
        fleet = RetryFleet(count=FEW, fleet=build_fleet(40), loss=0, seed=1)
        for _ in range(2):
            for number in range(FEW):
                fleet.fail(number, 40)
                fleet.restart(number)
        assert fleet.find_excess() <= 0

    def test_restarted_daemon_lends_what_is_used(self):
        """BUDGET: a restarted daemon lent what its predecessor had used."""
        fleet = RetryFleet(count=2, fleet=build_fleet(40), loss=0, seed=1)
        budget = fleet.daemons[0].budget
        assert budget.compute_lendable() > 0
        budget.note_predecessor()
        assert budget.compute_lendable() == 0
        fleet.run(HOLD_SECONDS + 1)
        assert budget.compute_lendable() > 0

    def test_lender_uses_what_a_window_holds(self):
        """BUDGET: a lender used a share a window after it was lent."""
        fleet = RetryFleet(count=1, fleet=build_fleet(40), loss=0, seed=1)
        hold = fleet.daemons[0].budget.hold_seconds
        assert hold > WINDOW + VALID_SECONDS


class TestLentRetries:
    """Grants at their lender."""

    def test_repeated_wish_is_lent_again(self):
        """BUDGET: a doubled or repeated datagram was lent twice."""
        lent = LentRetries(hold_seconds=HOLD_SECONDS)
        for lendable in (2, 0, 2):
            lent.lend('e-1', ASK, lendable=lendable, now=1)
            assert lent.take_unsent() == {
                'e-1': (RetryGrant(ask='a-0', amount=2),)
            }
        assert lent.count_held(1) == 2

    def test_held_until_no_window_has_a_use(self):
        """BUDGET: a lender used again what its borrower had just used."""
        lent = LentRetries(hold_seconds=HOLD_SECONDS)
        lent.lend('e-1', ASK, lendable=9, now=1)
        assert lent.count_held(1 + HOLD_SECONDS) == 3
        assert lent.count_held(1.01 + HOLD_SECONDS) == 0


class TestBorrowedRetries:
    """Grants at their borrower."""

    def test_grant_is_taken_once(self):
        """BUDGET: a doubled grant, or one to another, was used."""
        borrowed = self._ask()
        grant = RetryGrant(ask=self._read_ask(borrowed), amount=2)
        other = RetryGrant(ask='b-0', amount=2)
        assert borrowed.take('e-1', other, 1) == 0
        assert borrowed.take('e-2', grant, 1) == 0
        assert [borrowed.take('e-1', grant, 1) for _ in range(2)] == [2, 0]
        assert [borrowed.spend(1) for _ in range(3)] == [True, True, False]

    def test_expires_from_its_wish(self):
        """BUDGET: a late grant was used after its lender could count on it."""
        borrowed = self._ask()
        grant = RetryGrant(ask=self._read_ask(borrowed), amount=2)
        assert borrowed.take('e-1', grant, 1.3) == 2
        assert borrowed.count_left(0.99 + VALID_SECONDS) == 2
        assert not borrowed.spend(1 + VALID_SECONDS)

    def test_late_grant(self):
        """BUDGET: a grant was taken after its wish was given up."""
        borrowed = self._ask()
        grant = RetryGrant(ask=self._read_ask(borrowed), amount=2)
        assert borrowed.take('e-1', grant, 2) == 0

    def test_former_incarnation(self):
        """BUDGET: a restarted daemon took a grant to its predecessor."""
        former, restarted = self._ask(), BorrowedRetries(incarnation='b')
        grant = RetryGrant(ask=self._read_ask(former), amount=2)
        restarted.ask(['e-1'], need=2, portion=2, now=1)
        assert restarted.take('e-1', grant, 1) == 0

    @staticmethod
    def _ask() -> BorrowedRetries:
        borrowed = BorrowedRetries(incarnation='a')
        borrowed.ask(['e-1', 'e-2'], need=2, portion=2, now=1)
        return borrowed

    @staticmethod
    def _read_ask(borrowed: BorrowedRetries) -> str:
        ((lender, ask),) = borrowed.take_unsent(1).items()
        assert lender == 'e-1'
        return ask.ask
