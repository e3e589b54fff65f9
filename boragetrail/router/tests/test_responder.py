"""Tests of the answers that routers pass on from agents or the table."""

import aiohttp.test_utils
import pytest

from boragetrail.reasons import Executed, Reason
from boragetrail.router.responder import write_answer
from boragetrail.wire.messages import Data, End, Start

BODY = b"bytes of the server"


class Context:
    """Test double with the attributes of RequestContext that are used."""

    def __init__(self):
        self.http_request = aiohttp.test_utils.make_mocked_request("POST", "/")
        self.method = "POST"
        self.request_id = "r1"
        self.chat_id = ""
        self.server = "bookings-0"


async def answer(status, headers):
    """Yield the messages of an answer."""
    yield Start("r1.0", status, headers)
    yield Data("r1.0", 0, BODY, -1)
    yield End("r1.0", len(BODY), 0)


class TestInvalidHeads:
    """MIXED: an invalid head from an agent or the table is a failure."""

    # Agents before the check sent such heads, and stored them for a day as
    # those of finished orders.
    @pytest.mark.parametrize(
        "status, headers",
        [
            (0, []),
            (99, []),
            (101, []),
            (600, []),
            (200, [["Content-Length ", "4"]]),
            (200, [["X-Odd Name", "1"]]),
            (200, [["X-Odd", "a\x7f"]]),
        ],
    )
    async def test_head_is_not_passed_on(self, status, headers):
        response, failure = await write_answer(
            Context(), answer(status, headers)
        )
        assert response is None
        assert failure.reason is Reason.BACKEND_FAILED
        assert failure.ran is Executed.UNKNOWN

    @pytest.mark.parametrize("status", [200, 404, 500])
    async def test_valid_head(self, status):
        headers = [["Content-Type", "text/plain; charset=\xe9"]]
        response, failure = await write_answer(
            Context(), answer(status, headers)
        )
        assert (response.status, failure) == (status, None)
