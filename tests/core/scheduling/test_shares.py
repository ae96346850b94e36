"""Fair shares: weighted max-min fairness with floors over several resources."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ragwortshelf.core.scheduling import Resources
from ragwortshelf.core.scheduling import shares as shares_module
from ragwortshelf.core.scheduling.shares import (
    Demand,
    dominant_share,
    fair_shares,
    fraction,
)

TOLERANCE = 1e-6

_fractions = st.floats(0, 3).map(lambda value: round(value, 4))
_demands = st.builds(
    Demand,
    st.tuples(_fractions, _fractions, _fractions),
    st.floats(0, 0.6).map(lambda value: round(value, 4)),
    st.sampled_from((0.5, 1.0, 1.0, 2.0)),
)
_loads = st.lists(_demands, min_size=1, max_size=12).map(
    lambda demands: {f"o{n}": demand for n, demand in enumerate(demands)}
)


def _rates(demand):
    asks = dominant_share(demand.asks)
    return [part / asks if asks else 0.0 for part in demand.asks]


def _used(demand_by_name, shares):
    return [
        sum(share * _rates(demand_by_name[name])[r] for name, share in shares.items())
        for r in range(3)
    ]


# Promise: shares never add up to more than the capacity, of any resource.
@given(_loads)
def test_shares_fit_the_capacity(demand_by_name):
    shares = fair_shares(demand_by_name)
    assert shares.keys() == demand_by_name.keys()
    assert max(_used(demand_by_name, shares)) <= 1 + TOLERANCE
    for name, share in shares.items():
        assert share >= -TOLERANCE
        assert share <= dominant_share(demand_by_name[name].asks) + TOLERANCE


# Promise: nobody gets less than its guarantee, or all of them shrink alike.
@given(_loads)
def test_floors_are_kept(demand_by_name):
    shares = fair_shares(demand_by_name)
    floors = {
        name: min(dominant_share(demand.asks), demand.guarantee)
        for name, demand in demand_by_name.items()
    }
    shrink = 1 / max(1.0, *_used(demand_by_name, floors))
    for name, floor in floors.items():
        assert shares[name] >= floor * shrink - TOLERANCE


# Promise: no organisation can gain unless one loses that has no more than it, by
# weight, or only its guarantee.
@given(_loads)
def test_nobody_can_gain_without_a_poorer_one_losing(demand_by_name):
    shares = fair_shares(demand_by_name)
    used = _used(demand_by_name, shares)
    for name, demand in demand_by_name.items():
        if shares[name] >= dominant_share(demand.asks) - TOLERANCE:
            continue
        level = shares[name] / demand.weight
        assert any(
            used[r] >= 1 - TOLERANCE
            and _rates(demand)[r] > 0
            and all(
                shares[other] <= max(their.guarantee, level * their.weight) + TOLERANCE
                for other, their in demand_by_name.items()
                if _rates(their)[r] > 0
            )
            for r in range(3)
        )


# Promise: without contention everyone may have all that it asks.
@given(_loads)
def test_all_is_granted_if_all_of_it_fits(demand_by_name):
    asked = [
        sum(demand.asks[r] for demand in demand_by_name.values()) for r in (0, 1, 2)
    ]
    scale = max(1.0, *asked)
    fitting = {
        name: Demand(tuple(part / scale for part in demand.asks), demand.guarantee)
        for name, demand in demand_by_name.items()
    }
    for name, share in fair_shares(fitting).items():
        assert share == pytest.approx(dominant_share(fitting[name].asks), abs=TOLERANCE)


# Promise: a resource that nobody else needs is not left idle.
def test_who_does_not_need_the_scarce_resource_goes_on():
    shares = fair_shares(
        {
            "a": Demand((0.0, 0.0, 2.0)),
            "b": Demand((0.0, 0.0, 2.0)),
            "processors": Demand((0.9, 0.0, 0.0)),
        }
    )
    assert shares == pytest.approx({"a": 0.5, "b": 0.5, "processors": 0.9})


def test_fractions_of_a_resource_that_is_absent_are_zero():
    request = Resources(1_000, 2_000, 1)
    assert fraction(request, 2, Resources(8_000, 8_000, 0)) == (0.25, 0.5, 0.0)


# Guards against a plan that takes 0.1 s with 390 organisations, as each level at which
# one of them has all that it asks led to a look at all others.
def test_the_work_grows_with_the_number_of_organisations(monkeypatch):
    looks = []
    is_limited = shares_module._LevelRise._is_limited
    monkeypatch.setattr(
        shares_module._LevelRise,
        "_is_limited",
        lambda self, name: looks.append(name) or is_limited(self, name),
    )
    parts = [(n + 1) / 60_000 for n in range(400)]
    fair_shares({f"o{n}": Demand((part, part, part)) for n, part in enumerate(parts)})
    assert len(looks) <= 5 * len(parts)
