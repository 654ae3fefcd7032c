"""Adapter that lets the operators' bench run the decision module. It needs only the standard library."""
