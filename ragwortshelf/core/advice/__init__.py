"""What the policy service has decided about steps, and the question open at it.

The service says which endpoints may run a step. Two things in its answers are kept
apart. An *approval* or a denial lasts as long as the endpoint's incarnation. The
*ticket* that comes with an approval expires, and only a start needs it. Endpoints are
chosen, and room is made or reserved, among the approved ones, whether their tickets are
valid or not.

``terms`` holds how long the service takes and how long its tickets are valid,
``decisions`` what it has answered, and ``questions`` the one that is open.
"""

from .decisions import Decision, PolicyDecisions, Ticket, Validity
from .questions import OpenQuestion, QuestionDesk
from .terms import ENDPOINTS_PER_QUESTION_MAX, UNSTATED_TERMS, AdviceTerms

__all__ = [
    "ENDPOINTS_PER_QUESTION_MAX",
    "UNSTATED_TERMS",
    "AdviceTerms",
    "Decision",
    "OpenQuestion",
    "PolicyDecisions",
    "QuestionDesk",
    "Ticket",
    "Validity",
]
