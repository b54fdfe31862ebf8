"""A stand-in searcher for tests, the demo and the bench."""
