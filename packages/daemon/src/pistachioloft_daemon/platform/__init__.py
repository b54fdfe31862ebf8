"""Codecs for the headers, documents and calls of the users' platform."""
