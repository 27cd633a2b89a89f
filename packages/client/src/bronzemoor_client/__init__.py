"""Command line for operators of Bronzemoor."""
