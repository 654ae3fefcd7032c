"""Replicas of what each assigner knows, held by the others: docs/replication.md."""
