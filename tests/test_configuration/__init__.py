"""Tests of configurations and registers."""
