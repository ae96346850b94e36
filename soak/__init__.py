"""A randomized soak: real processes of the daemon against stand-ins, under faults.

``python -m soak --seed 7 --seconds 30`` prints one verdict with its seed. Faults come
from outside the processes: a loopback proxy before the store, and signals. What is
checked is what callers and endpoints see.
"""
