"""Small models of the protocols that the guarantees of ragwortshelf depend on.

``python -m specification`` checks every state of every model, and ``python -m
specification --mutant NAME`` shows how a guarantee fails without one protection.
"""
