"""Properties that hold for any input from other processes.

CI runs the same examples each time; ``make fuzz`` generates new ones.
"""

import json
import random

import aiohttp
import cbor2
from hypothesis import given
from hypothesis import strategies as st

from boragetrail.direct.crashes import MAX_PART_LENGTH, shared_parts
from boragetrail.direct.datagrams import (
    InvalidDatagram,
    decode_datagram,
    encode_datagram,
)
from boragetrail.direct.eventstream import MAX_EVENT_BYTES, EventSplitter
from boragetrail.direct.headers import forwarded_fields, parse_prompt_parts
from boragetrail.direct.discovery import decode_parts
from boragetrail.direct.interfaces import ChangeSet, Row, SourceFailure
from boragetrail.direct.knowledge.pauses import MAX_PAUSE_S, parse_pause
from boragetrail.direct.recordmessages import RecordMessage, decode_records
from boragetrail.direct.relay import decode_changes
from boragetrail.direct.tests.conftest import KEY, configuration
from boragetrail.platform.decode import PlatformRowDecoder
from standins.httpserver import whole_answer

SERVER_ENTRY = {
    "service": "apps",
    "address": "127.0.0.1:1",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
}
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text(max_size=8), children, max_size=4)
    ),
    max_leaves=12,
)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text(max_size=8), children, max_size=4)
    ),
    max_leaves=8,
)
STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\n\n\n\nid:3\n\ndata: c"
BODY = b"own"


def value_paths(value, path=()):
    """Return the paths to all values inside a nested value.

    >>> value_paths({"a": [1]})
    [(), ('a',), ('a', 0)]
    """
    found = [path]
    if isinstance(value, dict):
        inner = value.items()
    elif isinstance(value, list):
        inner = enumerate(value)
    else:
        return found
    for key, each in inner:
        found.extend(value_paths(each, (*path, key)))
    return found


def with_value(value, path, new):
    """Return a copy of a nested value with a new value at a path."""
    if not path:
        return new
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = with_value(value[path[0]], path[1:], new)
    return copy


def use_configuration(decoded):
    """Use a configuration as the router does when it serves requests."""
    for routes in decoded.routes_by_host.values():
        for route in routes:
            found = decoded.find_route(route.host, route.prefix + "1")
            assert 0 <= found.timeout_s < float("inf")
            assert max(0, min(9, found.priority)) >= 0
            assert sum(share.weight for share in found.shares) >= 0
            decoded.services_by_name.get(found.shares[0].service)
    for service in decoded.services_by_name.values():
        assert 0 <= service.cold_rate_per_s < float("inf")
    assert decoded.customers_by_key.get(KEY) is None or decoded.needs_keys
    assert decoded.version + 1 > 0
    assert decoded.limits.body_bytes + 1 > 0


class TestMessages:
    """Messages from other routers."""

    @given(st.binary(max_size=200) | VALUES.map(cbor2.dumps))
    def test_datagrams(self, data):
        message = decode_datagram(data)
        assert isinstance(message, InvalidDatagram)

    @given(st.binary(max_size=200) | VALUES.map(cbor2.dumps))
    def test_rows(self, data):
        assert isinstance(decode_changes(data), (ChangeSet, SourceFailure))

    @given(st.binary(max_size=200) | VALUES.map(cbor2.dumps))
    def test_parts(self, data):
        for part, servers in decode_parts(data):
            assert all(isinstance(each, str) for each in (part, *servers))


class TestPlatformRows:
    """Rows of the platform with one value replaced."""

    @given(st.sampled_from(value_paths(configuration())), JSON_VALUES)
    def test_configurations(self, path, new):
        data = json.dumps(with_value(configuration(), path, new)).encode()
        decoded = PlatformRowDecoder().configuration(Row("config", 1, data))
        if decoded is not None:
            use_configuration(decoded)

    @given(st.sampled_from(value_paths(SERVER_ENTRY)), JSON_VALUES)
    def test_servers(self, path, new):
        data = json.dumps(with_value(SERVER_ENTRY, path, new)).encode()
        decoded = PlatformRowDecoder().server(Row("i-1", 1, data))
        if decoded is not None:
            assert 0 <= decoded.cold_s < float("inf")
            assert isinstance(decoded.slots, int)

    @given(st.binary(max_size=100))
    def test_bytes(self, data):
        decoder = PlatformRowDecoder()
        decoder.configuration(Row("config", 1, data))
        decoder.server(Row("i-1", 1, data))


class TestHeaders:
    """Header fields from callers."""

    @given(st.text())
    def test_prompts(self, text):
        for part, tokens in parse_prompt_parts(text):
            assert part and tokens >= 0

    @given(st.lists(st.tuples(st.binary(min_size=1), st.binary())))
    def test_dropped_fields_are_not_forwarded(self, fields):
        dropped = frozenset((b"x-own",))
        fields = [*fields, (b"X-Own", b"1"), (b"connection", b"X-Other")]
        fields.append((b"x-other", b"2"))
        names = {name.lower() for name, _ in forwarded_fields(fields, dropped)}
        assert not names & {b"x-own", b"x-other", b"connection"}


class TestFieldsOfServers:
    """Header fields in which a server says what it wants."""

    @given(st.text())
    def test_pauses(self, text):
        pause_s, _ = parse_pause(text)
        assert 0.0 <= pause_s <= MAX_PAUSE_S

    @given(st.text() | st.from_regex(r"\A[0-9a-f]{1,16}:[0-9]{1,6}\Z"))
    def test_shared_parts(self, text):
        parts = shared_parts(parse_prompt_parts(text))
        assert all(0 < len(part) <= MAX_PART_LENGTH for part in parts)

    @given(
        st.dictionaries(
            st.sampled_from(("crash", "survival", "trial", "leaving", "x")),
            VALUES,
        )
    )
    def test_records(self, lists):
        message = RecordMessage("records", lists)
        decoded = decode_datagram(encode_datagram(message))
        if not isinstance(decoded, InvalidDatagram):
            decode_records(decoded, 0.0)


class TestEvents:
    """Event streams that arrive in arbitrary pieces."""

    @given(st.lists(st.integers(0, len(STREAM)), max_size=8))
    def test_valid_stream_in_pieces(self, cuts):
        events = EventSplitter()
        ends = sorted(cuts) + [len(STREAM)]
        begins = [0, *ends[:-1]]
        passed = b"".join(
            events.feed(STREAM[begin:end]) for begin, end in zip(begins, ends)
        )
        assert passed + events.remainder == STREAM
        assert passed.endswith(b"id:3\n\n")
        assert events.last_id == "3"

    @given(st.lists(st.binary(max_size=64), max_size=20))
    def test_bytes(self, pieces):
        events = EventSplitter()
        passed = b"".join(events.feed(piece) for piece in pieces)
        assert passed + events.remainder == b"".join(pieces)
        assert b"\n\n" not in events.remainder
        assert len(events.remainder) <= MAX_EVENT_BYTES


class ResponseCorruptor:
    """Corrupts one response of a server.

    :param change: function from the bytes of a response to other bytes
    """

    def __init__(self, change):
        self.change = change

    async def serve(self, request):
        """Send the corrupted response and close the connection."""
        request.writer.write(self.change(whole_answer(request, BODY)))
        request.writer.close()
        return b""


class TestCorruptedResponses:
    """Truncated or changed responses, each followed by a valid one."""

    HEAD_BYTES = 90
    CHANGES = 300

    async def test_cut_at_each_byte(self, cluster):
        daemon = await self._open(cluster)
        for cut in range(self.HEAD_BYTES + len(BODY)):
            corruptor = ResponseCorruptor(
                lambda response, cut=cut: response[:cut]
            )
            status, body = await self._request_corrupted(
                cluster, daemon, corruptor
            )
            assert status >= 500 or (status, body) == (200, BODY)

    async def test_one_byte_changed(self, cluster):
        daemon = await self._open(cluster)
        generator = random.Random(7)
        for _ in range(self.CHANGES):
            position, byte = (
                generator.randrange(self.HEAD_BYTES),
                generator.randbytes(1),
            )
            corruptor = ResponseCorruptor(
                lambda response, position=position, byte=byte: (
                    response[:position] + byte + response[position + 1 :]
                )
            )
            status, body = await self._request_corrupted(
                cluster, daemon, corruptor
            )
            assert status != 200 or BODY.startswith(body)

    async def _open(self, cluster):
        """Start a router with a single server that responds with ``BODY``."""

        async def serve(request):
            return whole_answer(request, BODY)

        await cluster.remove_server()
        daemon = await cluster.add_router()
        cluster.servers[0].default = serve
        return daemon

    async def _request_corrupted(self, cluster, daemon, corruptor):
        """Send a request to which the server's response is corrupted.

        Check that the next request succeeds.

        :returns: (status, body) that the caller got for the first request,
            or (599, empty body) if its client raised an error
        """
        cluster.servers[0].behaviours.append(corruptor.serve)
        try:
            status, _, body = await cluster.call(daemon, "/order/1")
        except aiohttp.ClientError:
            status, body = 599, b""
        cluster.servers[0].behaviours.clear()
        response = await cluster.call(daemon, "/status/1")
        assert (response[0], response[2]) == (200, BODY)
        return status, body
