"""Rendezvous hashing moves only keys of candidates that leave."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from ragwortshelf.core.membership import rendezvous

names = st.sets(st.text(min_size=1, max_size=5), min_size=2, max_size=8)


@given(st.text(), names, st.data())
def test_a_candidate_that_leaves_keeps_the_order_of_the_others(key, candidates, data):
    leaving = data.draw(st.sampled_from(sorted(candidates)))
    before = rendezvous(key, candidates)
    after = rendezvous(key, candidates - {leaving})
    assert after == tuple(name for name in before if name != leaving)


def test_order_is_stable_across_processes_and_spreads_keys():
    assert rendezvous("placer/dc1", ["a", "b", "c"]) == ORDER
    firsts = Counter(rendezvous(f"worker/{n}", "abcdef")[0] for n in range(6_000))
    assert all(800 < count < 1_200 for count in firsts.values())


ORDER = ("a", "c", "b")
