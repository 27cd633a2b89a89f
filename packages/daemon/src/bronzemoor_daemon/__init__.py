"""The Bronzemoor daemon: transports, storage and HTTP around the core."""
