"""Stand-ins for the users' platform: searchers, operators and callers around real processes."""
