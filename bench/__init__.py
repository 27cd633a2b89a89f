"""Benchmarks against the targets of docs/design.md; run by ``python -m bench``."""
