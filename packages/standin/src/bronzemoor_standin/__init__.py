"""Stand-in database endpoint and load tool for Bronzemoor."""
