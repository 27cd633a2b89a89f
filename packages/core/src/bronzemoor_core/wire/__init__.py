"""Decisions of the statement protocol: clients and endpoints on plain connections."""
