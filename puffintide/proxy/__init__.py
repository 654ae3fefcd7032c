"""The proxy: forwards each request to the server that its slice's weight table selects.

The state machine (`engine`) and its parts (`dispatcher`, `weight_tables`, `load_balancing`, `admission`,
`retry_policy`, `outlier_detection`, `usage_counters`) do no I/O. `line_proxy` and `http_proxy` carry out its
effects on sockets. `control_plane` receives tables from the assigners and the store. `service` creates and
connects these components.
"""
