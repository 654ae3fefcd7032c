"""Replication of each assigner's state to the other assigners, described in docs/replication.md."""
