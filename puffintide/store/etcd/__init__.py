"""Storage engine on an etcd cluster, and the generated code of etcd's protocol (rpc_pb2, rpc_pb2_grpc)."""
