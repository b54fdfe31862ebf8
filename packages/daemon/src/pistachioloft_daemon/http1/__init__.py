"""HTTP/1.1 connections on the event loop that pass messages on unchanged."""
