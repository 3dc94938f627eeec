"""All decoders of bytes from other processes, with input that no sender of this project makes."""

from __future__ import annotations

import json
import unittest
from typing import TYPE_CHECKING, Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from chivefall.batch import (
    NO_CHECKPOINT,
    BatchJob,
    BatchSpec,
    EndKind,
    Queue,
    QueueId,
    RecordedEnd,
    Resources,
    RunId,
    RunNumber,
    StepSpec,
    Submission,
    TaskKey,
    decode_ends,
    decode_job_state,
    decode_submission,
    encode_ends,
    encode_progress,
    encode_submission,
    restore_progress,
)
from chivefall.config import parse_settings
from chivefall.decoding import decode_json, decode_msgpack
from chivefall.document import decode_change, decode_document
from chivefall.errors import ChivefallError, MessageError
from chivefall.model import AccountId, JobId, ServiceId
from chivefall.net import HttpFailure, HttpResponse
from chivefall.net._messages import decode_envelope
from chivefall.platform import JsonPlatformCodec
from chivefall.platform._run_client import _order_outcome, _run_report
from chivefall.platform._store import _decode as decode_store_response
from chivefall.platform._wire import JobBody, RangeBody, WatchBody
from chivefall.store import decode_claim
from chivefall.telemetry._timeline import parse_line
from chivefall.workers import OrderAccepted, OrderRefused
from chivefall.workers._http_client import _decode_instances

if TYPE_CHECKING:
    from collections.abc import Callable

DEPTH = 5000  # far beyond the recursion limit of the interpreter
MAX_ERROR_LENGTH = 500  # characters; errors are logged

SUBMISSION = Submission(
    JobId("00ff"),
    Queue(QueueId("q"), "host", "/q/", ServiceId("pool")),
    AccountId("farm"),
    1.0,
    BatchSpec("payload", (StepSpec(2, Resources(1, 1, 1), 2.0), StepSpec(1, after=(0,)))),
)
ODD_JSON = [
    b"",
    b"\x00",
    b"\xff\xfe\xfd",
    b"null",
    b"true",
    b"9" * 5000,
    b"-" + b"9" * 30,
    b"1e999",
    b"NaN",
    b'"' + b"x" * 100_000 + b'"',
    b'"\\ud800"',
    b'{"a": 1, "a": {"a": 2}}',
    b"[" * DEPTH,
    b"[" * DEPTH + b"]" * DEPTH,
    b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
]
ODD_FIELDS: list[Any] = [None, True, -1, 2**53, 2**64, 10**40, 1e308, -0.5, "", "x" * 5000, [], {}]


def run_report(data: bytes) -> None:
    """Decode a report of a worker."""
    _run_report(data)


def progress(data: bytes) -> None:
    """Decode a progress record."""
    restore_progress(BatchJob(SUBMISSION, 2), data)


def store_response(data: bytes) -> None:
    """Decode a response of the store as each kind."""
    for kind in (RangeBody, WatchBody):
        decode_store_response(HttpResponse(200, data), kind)


def order_outcome(data: bytes) -> None:
    """Decode a response to an order."""
    outcome = _order_outcome(HttpResponse(200, data))
    assert not isinstance(outcome, OrderRefused), "an undecodable response is no refusal"


DECODERS: dict[str, Callable[[bytes], Any]] = {
    "worker entry": lambda data: JsonPlatformCodec().decode_worker("servers/i-1", data),
    "catalog": JsonPlatformCodec().decode_catalog,
    "submission": decode_submission,
    "progress": progress,
    "job state": decode_job_state,
    "ends of runs": lambda data: decode_ends(SUBMISSION.job_id, data),
    "submitted job": lambda data: decode_json(data, JobBody, "the job", "correct it"),
    "worker's report": run_report,
    "response to an order": order_outcome,
    "store response": store_response,
    "claim": decode_claim,
    "document": decode_document,
    "audit record": decode_change,
    "list of instances": _decode_instances,
    "peer message": decode_envelope,
    "log line": lambda data: parse_line(data.decode("latin-1")),
    "settings": lambda data: parse_settings(data.decode("latin-1")),
}
VALID: dict[str, bytes] = {
    "worker entry": json.dumps(
        {
            "service": "pool",
            "addr": "10.0.0.9:80",
            "zone": "zarcero",
            "state": "ready",
            "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 1},
            "labels": ["a", "r1"],
            "born": 7,
            "remaining_ms": 10,
        }
    ).encode(),
    "catalog": json.dumps(
        {
            "version": 3,
            "routes": [{"name": "q", "host": "h", "prefix": "/q/", "service": "s", "stretch": 2}],
            "services": [{"name": "s"}],
            "tenants": [{"name": "t", "api_keys": ["k"], "guaranteed": {"gpu": 2}}],
        }
    ).encode(),
    "submission": encode_submission(SUBMISSION),
    "progress": encode_progress(BatchJob(SUBMISSION, 2)),
    "ends of runs": encode_ends(
        [
            RecordedEnd(
                RunId(SUBMISSION.job_id, TaskKey(0, 0, 0), RunNumber(1)),
                EndKind.DONE,
                NO_CHECKPOINT,
            )
        ]
    ),
    "submitted job": b'{"task_spec": "x", "steps": [{"count": 1, "cpu": 1, "after": []}]}',
    "worker's report": b'{"clock_ms": 5, "running": [["0a.0.0.0", 1, "", 4]], "finished":'
    b' [[1, "0a.0.0.1", 1, "done", ""]], "born": 7}',
}


def decode(name: str, data: bytes) -> None:
    """Decode data and check that an error is one of the project and bounded in size."""
    error = None
    try:
        DECODERS[name](data)
    except ChivefallError as exc:
        error = exc
    if error is not None:
        assert error.remedy
        if name != "settings":  # shown to operators, not logged
            assert len(str(error)) <= MAX_ERROR_LENGTH, len(str(error))


def replaced(value: Any, path: tuple, new: Any) -> Any:
    """Return a copy of a JSON value in which the item at a path is replaced."""
    if not path:
        return new
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replaced(value[path[0]], path[1:], new)
    return copy


def paths(value: Any, prefix: tuple = ()) -> list[tuple]:
    """Return the paths of all items within a JSON value."""
    found = [prefix] if prefix else []
    if isinstance(value, dict | list):
        for key, item in value.items() if isinstance(value, dict) else enumerate(value):
            found += paths(item, (*prefix, key))
    return found


class DecodersTest(unittest.TestCase):
    def test_odd_json(self) -> None:
        """Guards against exceptions other than the project's, which would end a task."""
        for name in DECODERS:
            for data in ODD_JSON:
                with self.subTest(name, data=data[:20]):
                    decode(name, data)

    def test_each_field_replaced(self) -> None:
        """Guards against single fields that are decoded but break what uses them."""
        for name, data in VALID.items():
            DECODERS[name](data)
            value = json.loads(data)
            for path in paths(value):
                for new in ODD_FIELDS:
                    with self.subTest(name, path=path, new=str(new)[:20]):
                        decode(name, json.dumps(replaced(value, path, new)).encode())

    def test_deep_field_beside_valid_ones(self) -> None:
        """Guards against RecursionError for a field that the decoder does not even know."""
        for name, data in VALID.items():
            if data.endswith(b"}"):
                deep = b', "z": ' + b"[" * DEPTH + b"]" * DEPTH + b"}"
                with self.subTest(name), self.assertRaises(MessageError):
                    DECODERS[name](data[:-1] + deep)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.sampled_from(sorted(DECODERS)), st.binary(max_size=200))
    def test_arbitrary_bytes(self, name: str, data: bytes) -> None:
        """Guards against unexpected exceptions for bytes that are no message."""
        decode(name, data)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.data(), st.sampled_from(sorted(VALID)))
    def test_mutated_bytes(self, data: st.DataObject, name: str) -> None:
        """Guards against unexpected exceptions for messages that were damaged."""
        value = bytearray(VALID[name])
        for _ in range(data.draw(st.integers(1, 4))):
            position = data.draw(st.integers(0, len(value) - 1))
            value[position : position + data.draw(st.integers(0, 3))] = data.draw(
                st.binary(max_size=4)
            )
        decode(name, bytes(value))

    def test_deep_msgpack(self) -> None:
        """Guards against RecursionError for a peer message with a nested body."""
        with self.assertRaises(MessageError):
            decode_msgpack(b"\x91" * DEPTH + b"\xc0", Any, "the message", "check the peer")

    def test_decoded_values_can_be_used(self) -> None:
        """Guards against numbers that decode but fail in arithmetic or when they are stored."""
        body = decode_json(VALID["submitted job"], JobBody, "the job", "correct it")
        self.assertTrue(msgspec.json.encode(body))
        report = _run_report(VALID["worker's report"])
        self.assertEqual((len(report.running), len(report.ends)), (1, 1))
        self.assertIsInstance(_order_outcome(HttpResponse(200, b'{"clock_ms": 1}')), OrderAccepted)
        self.assertFalse(isinstance(_order_outcome(HttpFailure("x", sent=True)), OrderRefused))

    def test_rows_of_other_programs_are_left_out(self) -> None:
        """Guards against losing a worker's whole report because of one foreign task name."""
        report = _run_report(
            b'{"clock_ms": 5, "running": [["other", 1, "", 4], ["0a.0.0.0", 1, "", 4],'
            b' ["0a.0.0.\xc2\xb2", 1, "", 4]], "finished": []}'
        )
        self.assertEqual([str(status.run) for status in report.running], ["0a.0.0.0#1"])

    def test_one_odd_field_of_an_own_row_invalidates_the_report(self) -> None:
        """Guards against taking a run for ended because its row could not be decoded."""
        for row in (
            b'["0a.0.0.0", -1, "", 4]',
            b'["0a.0.0.0", 1, "", "x"]',
            b'["0a.0.0.0", 1]',
            b'["0a.0.0.0", ' + b"9" * 30 + b', "", 4]',
        ):
            with self.subTest(row), self.assertRaises(MessageError):
                _run_report(b'{"clock_ms": 5, "running": [' + row + b"]}")


if __name__ == "__main__":
    unittest.main()
