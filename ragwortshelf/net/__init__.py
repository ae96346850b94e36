"""Network adapters for callers, endpoints, workers, the log, the list and peers.

The rest of the package reaches each external system through an abstract base class
of ``interfaces``, so an adapter can be replaced without changing the core. Adapters
report every failure of the other side as a return value such as ``Unreachable``, never
as an exception.
"""
