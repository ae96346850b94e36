"""Benchmarks; each is run as ``python -m benchmarks.NAME --seed 1``."""
