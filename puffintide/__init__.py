"""puffintide: a control plane that tells sidecar proxies which servers handle each slice of keys."""
