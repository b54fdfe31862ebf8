"""Stand-ins, measuring scripts and the demo; not shipped."""
