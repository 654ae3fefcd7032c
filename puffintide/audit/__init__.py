"""The audit: checks from recorded messages between processes whether a deployment kept its rules."""
