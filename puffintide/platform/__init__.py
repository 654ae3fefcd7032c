"""The assigner as a service on the shared platform, described in docs/node.md."""
