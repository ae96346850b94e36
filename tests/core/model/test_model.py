"""Derived properties of the shared value types."""

from ragwortshelf.core.model import DataCentre, JobPhase, LeaseRequest, Rack


def test_data_centre_counts_the_accelerators_of_its_racks():
    racks = (Rack("r1", ("w1", "w2"), 8), Rack("r2", ("w3",), 4))
    assert DataCentre("ankara-1", "ankara", racks).accelerators == 20


def test_only_the_last_three_phases_are_final():
    final = {phase for phase in JobPhase if phase.is_final}
    assert final == {JobPhase.COMPLETED, JobPhase.NOT_RUN, JobPhase.INTERRUPTED}


def test_lease_id_names_job_attempt_and_holder():
    request = LeaseRequest("j1", 2, "i1.7", (0,), 1000, b"")
    assert request.lease_id == "j1/2/i1.7"
