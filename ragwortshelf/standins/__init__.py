"""Stand-ins for the platform's log, list, workers and endpoints.

They serve tests and the quick start. Most run as HTTP services with faults that are
set over HTTP.
"""
