"""Routing, limits, retries and outcomes of requests."""
