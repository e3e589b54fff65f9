"""Keys that tell a request that comes again from all others."""

import hashlib

from boragetrail.policy.crashrecords import REQUEST_PREFIX

__all__ = ["request_key"]

KEY_BYTES = 16
MAX_SECRET_BYTES = 64


def request_key(request):
    """Return the key of a request, the same each time that it comes.

    It stands for the customer, the method, the path and the body. Requests of
    two customers never share a key, and it does not reveal the body.

    :param request: :class:`~boragetrail.direct.request.DirectRequest` whose
        body was read
    """
    customer = request.customer.name if request.customer is not None else ""
    http_request = request.http_request
    digest = hashlib.blake2b(
        request.body,
        digest_size=KEY_BYTES,
        key=_secret(customer, http_request.method, http_request.raw_path),
    )
    return REQUEST_PREFIX + digest.hexdigest()


def _secret(*texts):
    """Return a digest of texts that separates their values."""
    digest = hashlib.blake2b(digest_size=MAX_SECRET_BYTES)
    for text in texts:
        encoded = text.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    return digest.digest()
