"""Tests of the interpretation of endpoints' HTTP responses."""

from __future__ import annotations

import unittest

from chivefall.endpoints import EndpointRequest, echoes_request_id, interpret_response
from chivefall.model import AccountId, RequestId, ServiceId
from chivefall.net import HttpResponse
from chivefall.routing import AttemptEnd

NOW = 1_000_000.0


class InterpretResponseTest(unittest.TestCase):
    def test_only_503_with_the_header_means_not_run(self) -> None:
        """Guards against reporting a request as not run although it may have run (G5)."""
        cases = {
            (503, "1"): AttemptEnd.NOT_RUN,
            (503, "0"): AttemptEnd.ANSWERED,
            (503, None): AttemptEnd.ANSWERED,
            (200, "1"): AttemptEnd.ANSWERED,
        }
        for (status, not_run), end in cases.items():
            headers = {} if not_run is None else {"x-not-run": not_run}
            result = interpret_response(HttpResponse(status, b"1", headers), NOW)
            self.assertEqual(result.end, end, (status, not_run))

    def test_leaving_and_retry_after(self) -> None:
        """Guards against ignoring that an endpoint is shutting down or overloaded."""
        headers = {"x-leaving": "1", "retry-after": "Mon, 12 Jan 1970 13:47:10 GMT"}
        result = interpret_response(HttpResponse(200, b"1", headers), NOW)
        self.assertEqual((result.leaving, result.retry_after), (True, 30.0))

    def test_content_that_is_not_json(self) -> None:
        """Guards against losing a response that is not JSON."""
        response = HttpResponse(200, b"\xff", {"content-type": "image/png"})
        expected = {"content_type": "image/png", "base64": "/w=="}
        self.assertEqual(interpret_response(response, NOW).response, expected)
        self.assertIsNone(interpret_response(HttpResponse(204, b""), NOW).response)

    def test_response_without_the_request_id_is_rejected(self) -> None:
        """Guards against accepting the response to another request (G4)."""
        request = EndpointRequest(RequestId("i.1"), ServiceId("s"), AccountId("a"), None, True)
        for headers, own in (({"x-request-id": "i.1"}, True), ({"x-request-id": "i.2"}, False)):
            self.assertEqual(echoes_request_id(HttpResponse(200, b"", headers), request), own)
        self.assertFalse(echoes_request_id(HttpResponse(200, b""), request))
