"""Changes and faults of the policy service, and of the links to it."""

from __future__ import annotations

import random
from collections.abc import Sequence

import trio

from ragwortshelf.core.advice import AdviceTerms
from ragwortshelf.standins.policy_service import PolicyService

from .operator import Operator
from .proxy import Proxy, ProxyMode

__all__ = ["USUAL_TERMS", "PolicyFaults"]

USUAL_TERMS = (
    AdviceTerms(20, 2, 5_000),
    AdviceTerms(200, 100, 3_000),
    AdviceTerms(200, 250, 2_000),
)
"""Figures of the policy service at most times of a run, of which a seed has one."""

CHANGED_TERMS = (
    AdviceTerms(100, 30, 3_000),
    AdviceTerms(300, 60, 2_000),
    AdviceTerms(5, 0, 150),
    AdviceTerms(700, 0, 600),
    None,
)
"""Figures that a configuration may change to; None withdraws the queue. The last ones
allow nothing to start if tickets are counted from the question."""

GAP_S = (0.1, 4.0)
DURATION_S = (0.3, 5.0)


class PolicyFaults:
    """Injects faults, which may overlap, and repairs them; ``log`` gets a line each."""

    def __init__(
        self,
        seed: int,
        policy: PolicyService,
        proxies: Sequence[Proxy],
        operator: Operator,
        log: list[str],
    ):
        self._random = random.Random(f"{seed}/policy")
        self._policy = policy
        self._usual_terms = policy.terms
        self._proxies = proxies
        self._operator = operator
        self._log = log

    async def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``, and return once all are repaired."""
        faults = (self._change_terms, self._delay_answers, self._disturb_links)
        deadline_s = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < deadline_s:
                fault = self._random.choice(faults)
                nursery.start_soon(fault, self._random.uniform(*DURATION_S))
                await trio.sleep(self._random.uniform(*GAP_S))
        self._set_terms(self._usual_terms)

    def _record(self, text: str) -> None:
        self._log.append(f"{trio.current_time():.1f} policy: {text}")

    def _set_terms(self, terms: AdviceTerms | None) -> None:
        self._record(f"{terms}")
        if terms is not None:
            self._policy.terms = terms
        self._operator.configure(terms)

    async def _change_terms(self, duration_s: float) -> None:
        self._set_terms(self._random.choice(CHANGED_TERMS))
        await trio.sleep(duration_s)
        self._set_terms(self._usual_terms)

    async def _delay_answers(self, duration_s: float) -> None:
        """Let answers take longer than the configuration says."""
        self._policy.extra_ms = self._random.choice((100, 1_000, 3_000))
        self._record(f"answers take {self._policy.extra_ms} ms longer")
        await trio.sleep(duration_s)
        self._policy.extra_ms = 0

    async def _disturb_links(self, duration_s: float) -> None:
        mode = self._random.choice([m for m in ProxyMode if m is not ProxyMode.OPEN])
        self._record(f"{mode.value} {duration_s:.1f} s")
        for proxy in self._proxies:
            proxy.mode = mode
        await trio.sleep(duration_s)
        for proxy in self._proxies:
            proxy.mode = ProxyMode.OPEN
            proxy.reset_all()
