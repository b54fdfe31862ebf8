"""A simulated platform: searchers, operators and callers around the processes of a fleet."""
