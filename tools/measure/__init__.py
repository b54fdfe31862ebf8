"""Measuring scripts; each prints tables for docs/measurements.md."""
