"""Heads of responses that are not valid, as servers in trouble send them."""

__all__ = ["INVALID_ENDS", "INVALID_FIELDS", "INVALID_STATUS_LINES"]

# Status lines by a name for their fault.
INVALID_STATUS_LINES = {
    "zero": b"HTTP/1.1 000 OK",
    "zero without a reason": b"HTTP/1.1 000",
    "below one hundred": b"HTTP/1.1 001 OK",
    "leading zero": b"HTTP/1.1 099 OK",
    "above the classes": b"HTTP/1.1 600 OK",
    "largest": b"HTTP/1.1 999 OK",
    "four digits": b"HTTP/1.1 2000 OK",
    "four digits, leading zero": b"HTTP/1.1 0200 OK",
    "two digits": b"HTTP/1.1 20 OK",
    "no digits": b"HTTP/1.1 OK",
    "letters": b"HTTP/1.1 2xx OK",
    "sign": b"HTTP/1.1 -200 OK",
    "protocol unknown": b"ICY 200 OK",
    "version unknown": b"HTTP/9.9 200 OK",
    "no version": b"200 OK",
    # No request asks for another protocol.
    "switch of protocols": b"HTTP/1.1 101 Switching Protocols",
}

# Header fields by a name for their fault.
INVALID_FIELDS = {
    "name with a blank": b"X-Odd Name: 1",
    "name with a tab": b"X-Odd\tName: 1",
    "name with NUL": b"X-Odd\0Name: 1",
    "name with a control byte": b"X-Odd\x01Name: 1",
    "name with a vertical tab": b"X-Odd\x0bName: 1",
    "name with ESC": b"X-Odd\x1bName: 1",
    "name with DEL": b"X-Odd\x7fName: 1",
    "name with a high byte": b"X-Odd\xe9Name: 1",
    "name with a carriage return": b"X-Odd\rName: 1",
    "blank before the name": b" X-Odd: 1",
    "tab before the name": b"\tX-Odd: 1",
    "line of a blank": b" ",
    "no name": b": 1",
    "no colon": b"X-Odd",
    "blank before the colon": b"X-Odd : 1",
    "tab before the colon": b"X-Odd\t: 1",
    "value with NUL": b"X-Odd: a\0b",
    "value with a carriage return": b"X-Odd: a\rb",
    "value with a control byte": b"X-Odd: a\x01b",
    "value with a vertical tab": b"X-Odd: a\x0bb",
    "value with ESC": b"X-Odd: a\x1bb",
    "value with DEL": b"X-Odd: a\x7fb",
}

BODY = b"{}"
CHUNKS = b"2\r\n{}\r\n0\r\n\r\n"

# Fields that say how a body ends, or that the connection ends, and a body
# that fits them, by a name for their fault.
INVALID_ENDS = {
    "length with a blank": (b"Content-Length : 2", BODY),
    "length with two blanks": (b"Content-Length  : 2", BODY),
    "coding with a blank": (b"Transfer-Encoding : chunked", CHUNKS),
    "connection with a blank": (
        b"Connection : close\r\nContent-Length: 2",
        BODY,
    ),
    "proxy connection with a blank": (
        b"Proxy-Connection : close\r\nContent-Length: 2",
        BODY,
    ),
    "upgrade with a blank": (
        b"Upgrade : h2c\r\nContent-Length: 2",
        BODY,
    ),
    "coding unknown": (b"Transfer-Encoding: gzip\r\nConnection: close", BODY),
    "coding like chunked": (
        b"Transfer-Encoding: xchunked\r\nConnection: close",
        BODY,
    ),
    "coding empty": (b"Transfer-Encoding:\r\nConnection: close", BODY),
    "coding before chunked": (b"Transfer-Encoding: gzip, chunked", CHUNKS),
    "coding after chunked": (
        b"Transfer-Encoding: chunked, gzip\r\nConnection: close",
        CHUNKS,
    ),
    "chunked twice": (
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        CHUNKS,
    ),
}
