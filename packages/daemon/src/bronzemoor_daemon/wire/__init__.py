"""Proxy and control daemon of the statement protocol, on an asyncio event loop."""
