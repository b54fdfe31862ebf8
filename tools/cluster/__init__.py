"""Start daemons and stand-in searchers as processes on loopback addresses."""
