"""Small models of the protocols whose agreement carries the promises.

``python -m specification`` checks every state of every model, and ``python -m
specification --mutant NAME`` shows how a promise breaks without one protection.
"""
