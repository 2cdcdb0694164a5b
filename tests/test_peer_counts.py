"""Tests of :mod:`ragwortcourse.forwarding.peer_counts`."""

import random
from collections import Counter

import pytest

from ragwortcourse.forwarding.peer_counts import FRESH_SECONDS, PeerCounts


class TestPeerCounts:
    """Sums of the requests of other daemons."""

    def test_sum(self):
        """Requests of all daemons at a target are added up."""
        peers = PeerCounts()
        peers.note('e2', {'t-1': (5, 2), 't-2': (1, 1)}, 0)
        peers.note('e3', {'t-1': (1, 0)}, 0)
        assert peers.count_running('t-1', 0) == 6
        assert peers.count_unanswered('t-1', 0) == 2
        assert peers.count_running('t-2', 0) == 1

    def test_replaced(self):
        """The newest report of a daemon replaces the one before."""
        peers = PeerCounts()
        peers.note('e2', {'t-1': (5, 2)}, 0)
        peers.note('e2', {'t-2': (3, 0)}, 0.1)
        assert peers.count_running('t-1', 0.1) == 0
        assert peers.count_running('t-2', 0.1) == 3

    def test_silent_daemon(self):
        """The counts of a daemon that sends no more messages expire."""
        peers = PeerCounts()
        peers.note('e2', {'t-1': (5, 2)}, 0)
        peers.note('e3', {'t-1': (1, 1)}, 1)
        assert peers.count_running('t-1', FRESH_SECONDS) == 1
        assert peers.count_unanswered('t-1', FRESH_SECONDS) == 1

    def test_same_word_again(self):
        """An unchanged report still extends the life of the counts."""
        peers = PeerCounts()
        for at in (0, 1, 2):
            peers.note('e2', {'t-1': (5, 2)}, at)
        assert peers.count_running('t-1', 2.4) == 5

    def test_forgotten_target(self):
        """Counts from before the restart of a target are dropped."""
        peers = PeerCounts()
        peers.note('e2', {'t-1': (5, 2), 't-2': (1, 0)}, 0)
        peers.forget('t-1')
        assert peers.count_running('t-1', 0) == 0
        peers.note('e2', {'t-1': (2, 2), 't-2': (1, 0)}, 0.1)
        assert peers.count_running('t-1', 0.1) == 2
        assert peers.count_running('t-2', 0.1) == 1

    @pytest.mark.parametrize('seed', range(5))
    def test_replayed(self, seed):
        """The sums equal those of the last unexpired report of each daemon.

        Daemons send reports, pause and resume; targets restart.
        """
        rng = random.Random(seed)
        peers, last, now = PeerCounts(), {}, 0.0
        for _ in range(3000):
            now += rng.expovariate(20)
            daemon = f'e{rng.randrange(12)}'
            if rng.random() < 0.02:
                gone = f't-{rng.randrange(6)}'
                peers.forget(gone)
                for _, counts in last.values():
                    counts.pop(gone, None)
            counts = {
                f't-{rng.randrange(6)}': (rng.randrange(1, 9), rng.randrange(2))
                for _ in range(rng.randrange(4))
            }
            peers.note(daemon, counts, now)
            last[daemon] = (now, dict(counts))
            running, starting = recount(last, now)
            for target in (f't-{number}' for number in range(6)):
                assert peers.count_running(target, now) == running[target]
                assert peers.count_unanswered(target, now) == starting[target]


def recount(last, now):
    """Sum the unexpired reports one by one."""
    running, starting = Counter(), Counter()
    for told_at, counts in last.values():
        if now - told_at < FRESH_SECONDS:
            for target, (run, start) in counts.items():
                running[target] += run
                starting[target] += start
    return running, starting
