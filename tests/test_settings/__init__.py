"""Tests of settings and logs."""
