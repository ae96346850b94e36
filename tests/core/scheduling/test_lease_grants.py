"""Until when the holders of the role may have extended leases, by the log."""

from ragwortshelf.core.scheduling.lease_grants import LeaseGrants
from ragwortshelf.core.scheduling.records import TermHeld, TermReport

GRANT_MAX_MS = 4_000


def make_grants(*records_by_time):
    """Return the grants of (time, term, is resigned) as read from the log."""
    grants = LeaseGrants(GRANT_MAX_MS)
    for read_ms, term, is_resigned in records_by_time:
        grants.term_read(TermHeld(term, f"i{term}", 0, is_resigned), read_ms)
    return grants


def test_no_lease_was_granted_without_a_term():
    grants = LeaseGrants(GRANT_MAX_MS)
    assert grants.end_ms is None
    grants.loaded(None, 500)
    assert grants.end_ms is None


def test_each_renewal_moves_the_bound():
    assert make_grants((100, 1, False), (450, 1, False)).end_ms == 4_450


def test_a_resignation_ends_the_grants_of_its_term():
    assert make_grants((100, 1, False), (450, 1, True)).end_ms == 450


# Guards against a bound that forgets a holder that is cut off while the next ones claim
# and resign the role.
def test_the_grants_of_a_holder_before_the_last_count():
    records = ((100, 1, False), (1_500, 9, False), (1_600, 9, True), (1_700, 12, True))
    assert make_grants(*records).end_ms == 4_100


def test_records_of_earlier_terms_are_void():
    assert make_grants((100, 5, True), (300, 4, False)).end_ms == 100


def test_a_load_tells_nothing_of_the_terms_before_the_newest():
    grants = make_grants((100, 1, False))
    grants.loaded(TermHeld(7, "i7", 0, is_resigned=True), 9_000)
    assert grants.end_ms == 13_000
    grants.term_read(TermHeld(8, "i8", 0), 9_500)
    assert grants.end_ms == 13_500


# Guards against a holder that gives the role up in an outage of the log, claims it
# again and waits anew for the leases that it granted itself.
def test_a_load_of_what_was_known_moves_no_bound():
    grants = make_grants((100, 1, False), (450, 7, False))
    grants.loaded(TermHeld(7, "i7", 0), 13_000)
    assert grants.end_ms == 4_450


def test_a_load_of_a_later_renewal_moves_the_bound_of_its_term_alone():
    grants = make_grants((100, 7, False))
    grants.loaded(TermHeld(7, "i7", 1, is_resigned=True), 9_000)
    assert grants.end_ms == 9_000


# Guards against a bound that one holder's report shortens for another one, which is cut
# off from the log and goes on.
def test_a_report_bounds_the_leases_of_its_term_alone():
    grants = make_grants((100, 1, False), (1_500, 9, False), (1_600, 12, False))
    grants.report_read(TermReport("i9", 9, 2_000), 3_000)
    assert grants.leases_end_ms(7_000, before_term=12) == 11_100
    grants.report_read(TermReport("i1", 1, 2_500, (("e", 500),)), 3_000)
    assert grants.leases_end_ms(7_000, before_term=12) == 5_500
    assert grants.leases_end_ms(7_000, before_term=12, endpoint_id="e") == 5_000


def test_a_report_lengthens_no_bound():
    grants = make_grants((100, 1, False), (1_500, 9, False))
    grants.report_read(TermReport("i1", 1, 60_000), 3_000)
    assert grants.leases_end_ms(7_000, before_term=9) == 11_100


# Guards against leases that seem to have ended to an instance that has just loaded the
# log, and doesn't know which terms there were.
def test_a_report_of_a_term_that_was_not_read_is_void():
    grants = LeaseGrants(GRANT_MAX_MS)
    grants.loaded(TermHeld(9, "i9", 0), 2_000)
    grants.report_read(TermReport("i1", 1, 0), 2_500)
    assert grants.leases_end_ms(7_000, before_term=9) == 13_000


def test_terms_that_were_joined_keep_their_bound():
    terms = [(100, 1, False), *((200, n, True) for n in range(2, 60))]
    grants = make_grants(*terms)
    grants.report_read(TermReport("i1", 1, 0), 300)
    assert grants.leases_end_ms(7_000) == 11_100
