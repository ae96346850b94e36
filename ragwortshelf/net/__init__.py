"""Sockets around the core: callers, endpoints, workers, the log, the list and peers.

Every outside system is met through an abstract base class of ``interfaces``; an
adapter may be replaced without touching the core. Adapters never raise for what the
other side does: they return values, ``Unreachable`` among them.
"""
