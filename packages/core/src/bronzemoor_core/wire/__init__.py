"""Decision logic of the statement protocol between clients, proxies and endpoints."""
