"""Decision logic of the Bronzemoor database proxy, free of I/O."""
