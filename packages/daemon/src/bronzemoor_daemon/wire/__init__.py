"""The statement protocol on plain connections: event loop, proxy and control side."""
