"""Run the product beside a plain baseline under load and faults."""
