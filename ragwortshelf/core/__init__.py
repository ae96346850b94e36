"""Decision logic of the scheduler, without sockets, files, clocks or randomness.

Each subpackage is a deterministic state machine or a set of pure functions. Time is
passed in as ``now_ms``, an integer number of milliseconds on the caller's monotonic
clock, or on the wall clock if the name says ``wall``; randomness is passed in as a
``random.Random``. A state machine's ``handle`` method takes one frozen event and
returns the actions that the process carries out.
"""
