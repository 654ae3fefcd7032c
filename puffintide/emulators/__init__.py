"""Stand-ins for what is around the assigner: session servers, their list, plain dispatchers, clients."""
