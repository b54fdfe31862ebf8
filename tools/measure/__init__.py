"""Measuring scripts; each prints the figures that a page quotes."""
