"""Stand-ins and a process runner for the scripts of the second review; standard library only."""
