"""The adapter through which the operators' bench plays the decision module. Standard library alone."""
