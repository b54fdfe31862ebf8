"""A randomized soak test of processes under injected faults."""
