"""Transfer of a chat's KV cache from one agent to another."""

import asyncio
import json

import websockets
import websockets.asyncio.client

from boragetrail.events import Event, log_event
from boragetrail.policy.transfer import SizeTransferPolicy
from boragetrail.wire import decode, encode
from boragetrail.wire.messages import KvBlock, KvFetch

__all__ = ["KvTransferController"]

# Limit on the time by which a KV transfer may delay its request.
FETCH_TIMEOUT_S = 0.15
MAX_FRAME_BYTES = 64 * 1024 * 1024


class KvTransferController:
    """Export KV caches to other agents and import KV caches from them.

    :param backend: client of the backend server
    :param hello: function that returns the agent's first message
    :param address_of: function that returns the (host, port) of a server's
        agent, or ``None``

    :ivar imported_count: number of chats imported
    """

    def __init__(self, backend, hello, address_of):
        self.backend = backend
        self.hello = hello
        self.address_of = address_of
        self.import_policy = SizeTransferPolicy()
        self.export_policy = SizeTransferPolicy()
        self.imported_count = 0

    async def export(self, message):
        """Export the KV cache of a chat.

        :param message: :class:`~boragetrail.wire.messages.KvFetch`
        :returns: :class:`~boragetrail.wire.messages.KvBlock`, empty if the
            chat has no cache or too many exports are running
        """
        block = KvBlock(message.chat_id, b"")
        if not self.export_policy.try_begin(
            SizeTransferPolicy.MIN_PROMPT_BYTES
        ):
            return block
        try:
            body = {"chat_id": message.chat_id}
            answer = await self.backend.post_json("/kv/export", body)
            if answer and answer["status"] == 200 and answer["blocks"]:
                block.payload = json.dumps(answer["blocks"]).encode()
        finally:
            self.export_policy.record_end()
        return block

    async def import_kv(self, dispatch):
        """Import the KV cache for a request.

        Nothing is imported if the transfer policy prefers recomputation or
        if the transfer fails or takes too long.

        :param dispatch: :class:`~boragetrail.wire.messages.Dispatch`
        """
        address = self.address_of(dispatch.kv_source)
        if address is None or not self.import_policy.try_begin(
            len(dispatch.body)
        ):
            return
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                await self._fetch_and_import(dispatch, address)
        except (OSError, TimeoutError, websockets.WebSocketException):
            return
        finally:
            self.import_policy.record_end()

    async def _fetch_and_import(self, dispatch, address):
        host, port = address
        async with websockets.asyncio.client.connect(
            f"ws://{host}:{port}",
            compression=None,
            ping_interval=None,
            max_size=MAX_FRAME_BYTES,
            close_timeout=0.1,
            proxy=None,
        ) as socket:
            await socket.send(encode(self.hello()))
            await socket.recv()
            await socket.send(encode(KvFetch(dispatch.chat_id)))
            block = decode(await socket.recv())
        if not isinstance(block, KvBlock) or not block.payload:
            return
        body = {
            "chat_id": dispatch.chat_id,
            "blocks": json.loads(block.payload),
        }
        await self.backend.post_json("/kv/import", body)
        self.imported_count += 1
        log_event(
            Event.KV_CACHE_TRANSFERRED,
            chat=dispatch.chat_id,
            source=dispatch.kv_source,
        )
