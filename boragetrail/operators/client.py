"""Client of a router's operator service."""

import grpc

from boragetrail.operators import operator_pb2_grpc as rpc

__all__ = ["operator_stub"]


class _TokenInterceptor(grpc.UnaryUnaryClientInterceptor):
    """Add the operators' token to each call."""

    def __init__(self, token):
        self.metadata = (("authorization", f"Bearer {token}"),)

    def intercept_unary_unary(self, continuation, details, request):
        """Add the metadata; called by grpc."""
        details = _CallDetails(details, self.metadata)
        return continuation(details, request)


class _CallDetails(grpc.ClientCallDetails):
    """Hold the details of a call with additional metadata."""

    def __init__(self, details, metadata):
        self.method = details.method
        self.timeout = details.timeout
        self.metadata = (*(details.metadata or ()), *metadata)
        self.credentials = details.credentials
        self.wait_for_ready = None
        self.compression = None


def operator_stub(address, token):
    """Return a gRPC stub for the router at an address.

    :param address: ``ip:port`` of the router's operator port
    :param token: operators' token
    """
    channel = grpc.insecure_channel(address)
    channel = grpc.intercept_channel(channel, _TokenInterceptor(token))
    return rpc.OperatorsStub(channel)
