"""Compare variants of the product on days of the bench."""
