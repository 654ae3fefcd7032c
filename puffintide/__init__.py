"""puffintide: a traffic director for plain sidecar proxies."""
