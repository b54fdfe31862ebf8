"""HTTP/1.1 connections on the event loop, without any change to what they carry."""
