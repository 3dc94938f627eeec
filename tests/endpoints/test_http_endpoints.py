"""What an endpoint's HTTP response means."""

from __future__ import annotations

import unittest

from chivefall.endpoints import EndpointRequest, echoes_request_id, interpret_response
from chivefall.model import AccountId, RequestId, ServiceId
from chivefall.net import HttpResponse
from chivefall.routing import AttemptEnd

NOW = 1_000_000.0


class InterpretTest(unittest.TestCase):
    def test_only_a_503_with_the_header_proves_that_nothing_ran(self) -> None:
        """Guards against a false "not run" (G5)."""
        cases = {
            (503, "1"): AttemptEnd.NOT_RUN,
            (503, "0"): AttemptEnd.ANSWERED,
            (503, None): AttemptEnd.ANSWERED,
            (200, "1"): AttemptEnd.ANSWERED,
        }
        for (status, proof), end in cases.items():
            headers = {} if proof is None else {"x-not-run": proof}
            result = interpret_response(HttpResponse(status, b"1", headers), NOW)
            self.assertEqual(result.end, end, (status, proof))

    def test_leaving_and_retry_after(self) -> None:
        """Guards against work for an endpoint that says that it leaves or is overloaded."""
        headers = {"x-leaving": "1", "retry-after": "Mon, 12 Jan 1970 13:47:10 GMT"}
        result = interpret_response(HttpResponse(200, b"1", headers), NOW)
        self.assertEqual((result.leaving, result.retry_after), (True, 30.0))

    def test_content_that_is_not_json(self) -> None:
        """Guards against an answer that is lost because of its format."""
        response = HttpResponse(200, b"\xff", {"content-type": "image/png"})
        expected = {"content_type": "image/png", "base64": "/w=="}
        self.assertEqual(interpret_response(response, NOW).response, expected)
        self.assertIsNone(interpret_response(HttpResponse(204, b""), NOW).response)

    def test_response_without_the_id_is_not_trusted(self) -> None:
        """Guards against the answer of another request (G4)."""
        request = EndpointRequest(RequestId("i.1"), ServiceId("s"), AccountId("a"), None, True)
        for headers, own in (({"x-request-id": "i.1"}, True), ({"x-request-id": "i.2"}, False)):
            self.assertEqual(echoes_request_id(HttpResponse(200, b"", headers), request), own)
        self.assertFalse(echoes_request_id(HttpResponse(200, b""), request))
