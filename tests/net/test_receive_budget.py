"""The largest share makes room, and requests in progress keep theirs."""

import pytest

from ragwortshelf.net.receive_budget import ReceiveBudget

LIMIT_BYTES = 1_000
SMALL_BYTES = 100


@pytest.fixture
def budget():
    return ReceiveBudget(LIMIT_BYTES, SMALL_BYTES)


@pytest.fixture
def evicted():
    return []


@pytest.fixture
def open_share(budget, evicted):
    return lambda name: budget.open_share(lambda: evicted.append(name))


def test_the_largest_share_is_evicted_for_a_small_one(budget, open_share, evicted):
    large, small = open_share("large"), open_share("small")
    large.take(900)
    small.take(100)
    assert not evicted
    small.take(1)
    assert evicted == ["large"]
    assert (large.evictable_bytes, budget.held_bytes) == (0, 101)


def test_a_share_that_grows_beyond_the_others_is_evicted_itself(
    budget, open_share, evicted
):
    first, second = open_share("first"), open_share("second")
    first.take(400)
    second.take(700)
    assert evicted == ["second"]
    assert budget.held_bytes == 400


def test_as_many_shares_are_evicted_as_the_excess_requires(budget, open_share, evicted):
    shares = [open_share(number) for number in range(4)]
    for share, size_bytes in zip(shares, (300, 290, 280, 100), strict=True):
        share.take(size_bytes)
    shares[3].take(180)
    assert evicted == [0]
    open_share("pinned").try_pin(750, 0)
    shares[3].take(1)
    assert evicted == [0, 1, 3, 2]
    assert budget.held_bytes == 750


def test_a_released_share_is_not_evicted(budget, open_share, evicted):
    released, receiving = open_share("released"), open_share("receiving")
    released.take(900)
    released.hold(0)
    receiving.take(800)
    assert not evicted
    assert budget.held_bytes == 800


def test_pinned_bytes_are_not_evicted(budget, open_share, evicted):
    pinned, small = open_share("pinned"), open_share("small")
    assert pinned.try_pin(750, 0)
    pinned.take(200)
    small.take(100)
    assert evicted == ["pinned"]
    assert (pinned.evictable_bytes, pinned.pinned_bytes) == (0, 750)
    assert budget.held_bytes == 850
    pinned.hold(0)
    assert (budget.held_bytes, budget.pinned_bytes) == (100, 0)


def test_large_requests_in_progress_leave_room_for_small_ones(budget, open_share):
    assert open_share("first").try_pin(700, 0)
    large = open_share("large")
    large.take(101)
    assert not large.try_pin(101, 0)
    assert (large.evictable_bytes, large.pinned_bytes) == (101, 0)
    assert open_share("small").try_pin(100, 0)
    assert budget.pinned_bytes == 800
