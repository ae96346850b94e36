"""Soak test: randomized fault injection against real daemon processes.

``python -m soak --seed 7 --seconds 30`` runs one seed against the stand-ins of the
platform and prints a summary. All faults come from outside the daemon: loopback proxies
in front of the store and the endpoints, signals to the processes, and faults of the
stand-ins. The checks use only what callers and endpoints observe.
"""
