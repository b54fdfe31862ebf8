"""Compare the product with a plain baseline under load and faults."""
