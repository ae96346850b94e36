"""Requests under load and faults: the project's policy beside a naive one.

The core's machines run over small fakes in virtual time. ``python -m
benchmarks.requests --deployment agency --seed 1`` prints one JSON line for each policy,
load and fault.
"""
