"""The real assigner of the platform: the decision module on the platform's protocol. docs/node.md."""
