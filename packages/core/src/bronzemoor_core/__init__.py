"""Decisions of the Bronzemoor database proxy."""
