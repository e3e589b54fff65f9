"""Harness of the cases 6 to 10."""
