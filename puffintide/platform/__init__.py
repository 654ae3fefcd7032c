"""The assigner on the shared platform's protocol; docs/node.md is its page."""
