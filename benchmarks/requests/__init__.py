"""Requests under load and faults: the project's policy compared with a naive one.

The state machines of the core run in virtual time over simple fakes. ``python -m
benchmarks.requests --deployment agency --seed 1`` prints one JSON line for each policy,
load and fault.
"""
