"""Where gangs run: guarantees, order, packing, reclaim and quarantine."""
