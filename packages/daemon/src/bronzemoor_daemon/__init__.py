"""The Bronzemoor daemon."""
