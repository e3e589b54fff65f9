"""HTTP client of a router for demonstrations, tests and measurements."""

import json
import time

import aiohttp

__all__ = ["ChatResult", "Caller"]


class ChatResult:
    """Hold what a caller received in one chat turn; times in seconds.

    :ivar is_complete: whether the stream ended with ``[DONE]``
    :ivar problem: problem details of a refusal or of an aborted connection
    """

    __slots__ = (
        "status",
        "text",
        "cached_words",
        "prompt_words",
        "is_complete",
        "first_token_s",
        "token_intervals_s",
        "headers",
        "problem",
        "duration_s",
    )

    def __init__(self):
        self.status = 0
        self.text = ""
        self.cached_words = 0
        self.prompt_words = 0
        self.is_complete = False
        self.first_token_s = None
        self.token_intervals_s = []
        self.headers = {}
        self.problem = None
        self.duration_s = 0.0


class Caller:
    """Hold the address of a router and the credentials of a customer.

    :param session: :class:`aiohttp.ClientSession`
    :param url: base URL of the router
    :param key: API key, sent as bearer token
    """

    def __init__(self, session, url, key):
        self.session = session
        self.url = url
        self.headers = {"Authorization": f"Bearer {key}"}

    async def chat(
        self, messages, chat_id="", hint="", words=24, on_token=None
    ):
        """Stream one turn of a chat.

        :param hint: placement hint from the previous turn's response
        :param words: maximum number of words of the response
        :param on_token: called with the text of each event
        :returns: :class:`ChatResult`
        """
        result = ChatResult()
        started_s = time.monotonic()
        headers = {**self.headers}
        if chat_id:
            headers["X-Chat-Id"] = chat_id
        if hint:
            headers["X-Chat-Hint"] = hint
        body = {"messages": messages, "stream": True, "max_tokens": words}
        url = f"{self.url}/v1/chat/completions"
        try:
            async with self.session.post(
                url, json=body, headers=headers
            ) as response:
                result.status = response.status
                result.headers = response.headers
                if response.status != 200:
                    result.problem = await _problem(response)
                else:
                    await self._read(response, result, started_s, on_token)
        except (aiohttp.ClientError, OSError) as exc:
            result.problem = {"code": "cut", "detail": repr(exc)}
        result.duration_s = time.monotonic() - started_s
        return result

    async def request(
        self, method, path, body=b"", idempotency_key="", **headers
    ):
        """Send a request to an application service.

        :returns: (status, body, headers), or (0, error, {}) if the
            connection failed
        """
        headers = {**self.headers, **headers}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        try:
            async with self.session.request(
                method, self.url + path, data=body, headers=headers
            ) as response:
                return response.status, await response.read(), response.headers
        except (aiohttp.ClientError, OSError) as exc:
            return 0, repr(exc).encode(), {}

    async def _read(self, response, result, started_s, on_token):
        last_token_s = None
        async for line in response.content:
            if not line.startswith(b"data: "):
                continue
            data = line[6:].strip()
            if data == b"[DONE]":
                result.is_complete = True
                continue
            event = json.loads(data)
            now = time.monotonic()
            for choice in event.get("choices", ()):
                text = choice["delta"]["content"]
                result.text += text
                if on_token is not None:
                    on_token(text)
                if last_token_s is None:
                    result.first_token_s = now - started_s
                else:
                    result.token_intervals_s.append(now - last_token_s)
                last_token_s = now
            if "usage" in event:
                usage = event["usage"]
                result.prompt_words = usage["prompt_tokens"]
                details = usage["prompt_tokens_details"]
                result.cached_words = details["cached_tokens"]


async def _problem(response):
    try:
        return await response.json(content_type=None)
    except ValueError:
        return {"code": f"status-{response.status}"}
