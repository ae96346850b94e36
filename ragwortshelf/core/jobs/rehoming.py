"""New home data centres for jobs whose home is lost or unreachable."""

from __future__ import annotations

from dataclasses import replace

from ..model import Configuration, Reason
from ..placement import home_data_centre
from ..streams import AttemptEnded, JobMoved
from .job_entry import JobEntry
from .ledger import JobLedger

__all__ = ["rehome"]


def rehome(
    ledger: JobLedger, lost_data_centre: str, configuration: Configuration, wall_ms: int
) -> tuple[AttemptEnded | JobMoved, ...]:
    """Return the records that give the jobs of ``lost_data_centre`` new homes.

    The records take effect in the order of the log, so a data centre that is cut off
    cannot claim a job that has moved. An idempotent job with a claimed attempt there
    continues from its last known checkpoint, and the result of that attempt is ignored
    even if it finishes. A job that is not idempotent stays once it is claimed, because
    only its workers can tell whether it ran. A job that fits in no other data centre
    stays too.
    """
    others = {
        name: data_centre
        for name, data_centre in configuration.data_centres_by_name.items()
        if name != lost_data_centre
    }
    remaining_configuration = replace(configuration, data_centres_by_name=others)
    records: list[AttemptEnded | JobMoved] = []
    for entry in ledger.active():
        if entry.home_data_centre != lost_data_centre:
            continue
        if entry.is_open and not entry.spec.is_idempotent:
            continue
        home = home_data_centre(entry.spec, remaining_configuration)
        if home is None:
            continue
        if entry.is_open:
            records.append(_abandoned_attempt(entry, wall_ms))
        reason = Reason.OWNER_UNREACHABLE
        records.append(JobMoved(entry.spec.job_id, entry.moves + 1, home, reason))
    return tuple(records)


def _abandoned_attempt(entry: JobEntry, wall_ms: int) -> AttemptEnded:
    return AttemptEnded(
        entry.spec.job_id,
        entry.attempt,
        True,
        Reason.OWNER_UNREACHABLE,
        entry.checkpoint,
        wall_ms,
        None,
    )
