"""Header fields of requests to servers and of responses to callers."""

__all__ = ["HeaderRewriter", "is_number", "parse_prompt_parts"]

# Fields that apply to a single connection.
HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
FRAMING_FIELDS = frozenset((b"content-length", b"expect"))
MIN_DEADLINE_MS = 1
# No real number is longer. ``int`` refuses texts of over 4,300 digits, and
# ``float`` numbers of over 308.
MAX_DIGITS = 18


class HeaderRewriter:
    """Build the header fields that a server and a caller get.

    :param names: :class:`~boragetrail.direct.interfaces.HeaderNames`
    """

    def __init__(self, names):
        self.names = names
        router_fields = set(names.reserved)
        router_fields.update((names.deadline_ms.lower(), names.key.lower()))
        self.dropped = frozenset(name.encode() for name in router_fields)
        self.end_to_end = frozenset(name.encode() for name in names.end_to_end)

    def request_head(
        self, request, server_id, left_s, resume_after="", copy_from=""
    ):
        """Return the head of a request to a server as bytes.

        :param left_s: seconds left to the deadline
        :param resume_after: id of the last event that the caller received, or
            empty
        :param copy_from: address of the engine from which cached parts of
            the prompt are copied, or empty
        """
        http_request = request.http_request
        names = self.names
        lines = [
            f"{http_request.method} {http_request.raw_path} HTTP/1.1".encode()
        ]
        dropped = self.dropped
        if resume_after:
            dropped = dropped | {names.last_event_id.lower().encode()}
        fields = forwarded_fields(
            http_request.raw_headers, dropped, self.end_to_end
        )
        for name, value in fields:
            lines.append(name + b": " + value)
        left_ms = max(MIN_DEADLINE_MS, int(left_s * 1000))
        lines.append(f"{names.deadline_ms}: {left_ms}".encode())
        lines.append(f"{names.expected_server}: {server_id}".encode())
        if request.customer is not None:
            customer = request.customer.name
            lines.append(f"{names.customer}: {customer}".encode())
        lines.append(f"{names.priority}: {request.priority}".encode())
        if resume_after:
            lines.append(f"{names.last_event_id}: {resume_after}".encode())
        if copy_from:
            lines.append(f"{names.copy_from}: {copy_from}".encode())
        if request.body or http_request.body_exists:
            lines.append(f"Content-Length: {len(request.body)}".encode())
        return b"\r\n".join(lines) + b"\r\n\r\n"

    @staticmethod
    def response_fields(raw_headers):
        """Return the fields of a response that the caller gets.

        :returns: list of (name, value) as text
        """
        return [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in forwarded_fields(raw_headers, frozenset())
        ]


def forwarded_fields(raw_headers, dropped, end_to_end=frozenset()):
    """Yield the fields that are not limited to one connection.

    :param raw_headers: list of (name, value) as bytes
    :param dropped: names of further fields to leave out, in lower case
    :param end_to_end: names of fields, in lower case, that are forwarded even
        if the ``Connection`` field lists them
    """
    connection_options = set()
    for name, value in raw_headers:
        if name.lower() == b"connection":
            connection_options.update(
                each.strip().lower() for each in value.split(b",")
            )
    removed = HOP_BY_HOP_FIELDS | FRAMING_FIELDS | dropped
    # A caller must not be able to remove fields that servers rely on.
    removed = removed | (connection_options - end_to_end)
    for name, value in raw_headers:
        if name.lower() not in removed:
            yield name, value


def is_number(text):
    """Return whether a text is a number of ASCII digits that can be read.

    >>> is_number("12"), is_number("\u00b2"), is_number("1" * 400)
    (True, False, False)
    """
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def parse_prompt_parts(text):
    """Return the parts of a prompt as a list of (id, tokens).

    >>> parse_prompt_parts("5c1e07a2:800,e4402b7d:250")
    [('5c1e07a2', 800), ('e4402b7d', 250)]
    """
    parts = []
    for entry in text.split(","):
        part, _, tokens = entry.strip().partition(":")
        if part and is_number(tokens):
            parts.append((part, int(tokens)))
    return parts
