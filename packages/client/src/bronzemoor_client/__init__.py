"""Command line client for operators of Bronzemoor."""
