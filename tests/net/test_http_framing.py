"""Tests of the HTTP message framer."""

from __future__ import annotations

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from chivefall.net._http_framing import (
    FramingError,
    Message,
    MessageFramer,
    MessageLimits,
    parse_request_line,
)

GET = b"GET /v1/jobs/a?wait=1 HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = (
    b"POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: 1\r\n\r\n"
)


def frame(
    data: bytes, responses: bool = False, limits: MessageLimits | None = None
) -> list[Message]:
    """Return all complete messages of a stream."""
    framer = MessageFramer(limits or MessageLimits(), responses)
    framer.feed(data)
    messages = []
    while (message := framer.next_message()) is not None:
        messages.append(message)
    return messages


class FramerTest(unittest.TestCase):
    @settings(derandomize=True, database=None, max_examples=80)
    @given(st.lists(st.integers(0, len(GET + POST + CHUNKED + GET)), max_size=12))
    def test_segments_do_not_change_the_messages(self, cuts: list[int]) -> None:
        """Guards against pipelined requests that are merged, lost or split between segments."""
        stream = GET + POST + CHUNKED + GET
        framer, messages = MessageFramer(MessageLimits()), []
        borders = [0, *sorted(cuts), len(stream)]
        for begin, end in itertools.pairwise(borders):
            framer.feed(stream[begin:end])
            while (message := framer.next_message()) is not None:
                messages.append((message.start_line.split()[1], message.body))
        self.assertEqual(
            messages,
            [
                ("/v1/jobs/a?wait=1", b""),
                ("/v1/jobs", b"body"),
                ("/b", b"abcde"),
                ("/v1/jobs/a?wait=1", b""),
            ],
        )

    def test_refuses_malformed_and_ambiguous_messages(self) -> None:
        """Guards against request smuggling and unbounded memory."""
        head = b"POST / HTTP/1.1\r\nHost: x\r\n"
        cases = {
            "two lengths": (head + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
            "length and chunks": (
                head + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                400,
            ),
            "negative length": (head + b"Content-Length: -1\r\n\r\n", 400),
            "long number": (head + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n", 413),
            "folded header": (head + b"A: b\r\n c\r\n\r\n", 400),
            "no colon": (head + b"broken\r\n\r\n", 400),
            "bad chunk": (head + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n", 400),
            "long chunk": (head + b"Transfer-Encoding: chunked\r\n\r\n1\r\nabc", 400),
            "large chunk": (head + b"Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", 413),
            "large body": (head + b"Content-Length: 1000001\r\n\r\n", 413),
            "endless head": (b"GET / HTTP/1.1\r\n" + b"a" * 20_000, 431),
        }
        for name, (data, status) in cases.items():
            with self.subTest(name), self.assertRaises(FramingError) as caught:
                frame(data)
            self.assertEqual(caught.exception.status, status)

    @settings(derandomize=True, database=None, max_examples=200)
    @given(st.lists(st.sampled_from([*b"GPT/1.0: \r\n;,", *range(0, 256, 37)]), max_size=80))
    def test_any_bytes(self, data: list[int]) -> None:
        """Guards against input that raises anything but a FramingError."""
        for prefix in (b"", b"POST / HTTP/1.1\r\n", POST[:40], CHUNKED[:60]):
            try:
                for message in frame(prefix + bytes(data)):
                    parse_request_line(message)
            except FramingError as exc:
                self.assertGreaterEqual(exc.status, 400)

    def test_request_line(self) -> None:
        """Guards against accepting unsupported targets, versions and encodings."""
        self.assertEqual(parse_request_line(frame(GET)[0]), ("GET", "/v1/jobs/a", "wait=1"))
        for line, status in (
            (b"GET  / HTTP/1.1", 400),
            (b"G@T / HTTP/1.1", 400),
            (b"GET http://x/ HTTP/1.1", 400),
            (b"GET / HTTP/2.0", 505),
            (b"GET / HTTP/1.1\r\nContent-Encoding: gzip", 415),
        ):
            with self.subTest(line), self.assertRaises(FramingError) as caught:
                parse_request_line(frame(line + b"\r\nHost: x\r\n\r\n")[0])
            self.assertEqual(caught.exception.status, status)

    def test_responses(self) -> None:
        """Guards against responses that never complete or extend beyond their end."""
        (only,) = frame(
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 203 Non-Authoritative Information\r\n"
            b"Content-Length: 2\r\n\r\nok",
            responses=True,
        )
        self.assertEqual(only.body, b"ok")
        self.assertEqual(len(frame(b"HTTP/1.1 204 No Content\r\n\r\n", responses=True)), 1)
        framer = MessageFramer(MessageLimits(max_body_bytes=8), responses=True)
        framer.feed(b"HTTP/1.1 200 OK\r\n\r\nuntil")
        self.assertIsNone(framer.next_message())
        ended = framer.end_of_stream()
        self.assertEqual((ended.body, ended.keep_alive), (b"until", False))
        framer.feed(b"HTTP/1.1 200 OK\r\n\r\nuntil the end")
        with self.assertRaises(FramingError):
            framer.next_message()
