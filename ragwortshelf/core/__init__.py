"""Decisions of the scheduler, free of sockets, files, clocks and randomness.

Each subpackage is a deterministic state machine or a pure function. Time enters as
``now_ms``, an integer number of milliseconds on the caller's monotonic clock unless a
name says ``wall``; randomness enters as a ``random.Random``. A machine's ``handle``
method takes one frozen event and returns the actions that the process carries out.
"""
