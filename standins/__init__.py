"""Test doubles of the services around a fleet; not part of the package."""
