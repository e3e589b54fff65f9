"""Tests of the processes' own calls that get a response without a valid head.

They query engines, other routers, the store and services of the platform.
"""

import pytest

from boragetrail.direct.tests.test_endlessqueries import (
    BODY_OF_JSON,
    CALLS,
    is_failure,
)
from standins.invalidheads import (
    INVALID_ENDS,
    INVALID_FIELDS,
    INVALID_STATUS_LINES,
)

LENGTH = b"Content-Length: %d" % len(BODY_OF_JSON)
JSON = b"Content-Type: application/json"
VALID = b"HTTP/1.1 200 OK"


async def call_and_get(server, session, name, *lines, body=BODY_OF_JSON):
    """Call a process that answers with a head; returns the result.

    :param name: name of the call
    :param lines: status line and fields
    """

    async def respond(request):
        return b"\r\n".join((*lines, b"", body))

    server.default = respond
    return await CALLS[name](session, server.address)


@pytest.mark.parametrize("name", CALLS)
class TestInvalidHeads:
    """A call whose response has an invalid head has failed."""

    # Agents took a status of 000 for that of a service, and routers the list
    # of an engine's cached parts with it.
    async def test_status(self, server, session, name):
        for status, line in INVALID_STATUS_LINES.items():
            result = await call_and_get(
                server, session, name, line, JSON, LENGTH
            )
            assert is_failure(result), (status, result)

    async def test_field(self, server, session, name):
        for fault, field in INVALID_FIELDS.items():
            result = await call_and_get(
                server, session, name, VALID, field, JSON, LENGTH
            )
            assert is_failure(result), (fault, result)

    async def test_end(self, server, session, name):
        for fault, (fields, body) in INVALID_ENDS.items():
            lines = (VALID, JSON, fields)
            result = await call_and_get(
                server, session, name, *lines, body=body
            )
            assert is_failure(result), (fault, result)


@pytest.mark.parametrize("name", ["cache", "service", "backend"])
class TestValidHeads:
    """The same body with a valid head is an answer to these calls."""

    async def test_call(self, server, session, name):
        result = await call_and_get(server, session, name, VALID, JSON, LENGTH)
        assert not is_failure(result)
