"""Time until another instance takes over the role of a lost placer."""

from __future__ import annotations

from collections.abc import Iterator

from .control_network import VirtualNetwork, instances

__all__ = ["measure_takeover"]

SETTLE_MS = 10_000
LIMIT_MS = 30_000
TRIALS = 40


def measure_takeover(seed: int) -> Iterator[dict]:
    """Yield the takeover times after the loss of a process and of a host."""
    for loss, is_host_lost in (("process", False), ("host", True)):
        times_ms = sorted(
            _takeover_ms(seed + trial, is_host_lost) for trial in range(TRIALS)
        )
        yield {
            "measure": "placer_takeover",
            "loss": loss,
            "p50_ms": times_ms[TRIALS // 2],
            "max_ms": times_ms[-1],
        }


def _takeover_ms(seed: int, is_host_lost: bool) -> int:
    network = VirtualNetwork(seed, is_compressed=False)
    network.start_all(instances(1, 2 + seed % 3))
    network.run(SETTLE_MS + seed * 137 % 1_000)
    (placer,) = network.placers("dc1")
    network.stop(network.node_by_name[placer], is_host_lost=is_host_lost)
    takeover_ms = network.run_until(lambda: network.placers("dc1") != (), LIMIT_MS)
    assert takeover_ms is not None
    return takeover_ms
