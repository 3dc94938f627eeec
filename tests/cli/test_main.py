"""Tests of the commands, their errors and exit statuses."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from chivefall.cli._client import InstanceClient, RequestError, Response, read_json_file
from chivefall.cli._main import app, main

INSTANCE = ["--instance", "127.0.0.1:1"]


def run(*args: str) -> tuple[int, str, str]:
    """Run a command and return its exit status, standard output and standard error."""
    out, err = io.StringIO(), io.StringIO()
    with (
        mock.patch("sys.argv", ["chivefall", *args]),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            main()
            status = 0
        except SystemExit as exc:
            status = exc.code or 0
    return status, out.getvalue(), err.getvalue()


class ReportTest(unittest.TestCase):
    def test_page_with_plots(self) -> None:
        """Guards against a missing plot and unescaped text in the report of a log directory."""
        event = {"timestamp": 1.0, "message_type": "chivefall:7101:batch_answered"}
        with tempfile.TemporaryDirectory() as directory:
            logs, page = Path(directory), Path(directory) / "page.html"
            fields = {"instance": "i<0>", "status": 503, "detail": "<later>", "catalog_age": 1.0}
            (logs / "a.log").write_text(json.dumps({**event, **fields}), encoding="utf-8")
            status, out, _ = run("report", directory, "--out", str(page))
            content = page.read_text(encoding="utf-8")
        self.assertEqual(status, 0)
        self.assertIn("1 events of 1 instances", out)
        self.assertIn("missing: no runs", out)
        self.assertEqual(content.count("<svg"), 4)
        self.assertNotIn("<later>", content)

    def test_standard_input_and_files_without_events(self) -> None:
        """Guards against a file of another program that passes for a log without faults."""
        event = {"timestamp": 1.0, "message_type": "chivefall:7101:batch_answered", "status": 200}
        text = json.dumps({**event, "instance": "i0", "job": "00aa"})
        with tempfile.TemporaryDirectory() as directory:
            page, other = Path(directory) / "page.html", Path(directory) / "other.log"
            other.write_text("no event\n", encoding="utf-8")
            with mock.patch("sys.stdin", io.StringIO(text + "\n")):
                status, out, _ = run("report", "--out", str(page))
            self.assertEqual((status, "1 events of 1 instances" in out), (0, True))
            for command in (
                ["report", str(other), "--out", str(page)],
                ["explain", "00aa", str(other)],
            ):
                with self.subTest(command[0]):
                    _, out, _ = run(*command)
                    self.assertIn(f"missing: {other} holds no event of chivefall", out)
            with mock.patch("sys.stdin", io.StringIO(text + "\n")):
                status, out, _ = run("explain", "00aa")
            self.assertIn("batch_answered", out)

    def test_directory_without_logs(self) -> None:
        """Guards against an empty report for a mistyped directory."""
        with tempfile.TemporaryDirectory() as directory:
            status, _, err = run("report", directory)
        self.assertEqual(status, 2)
        self.assertIn("name log files", err)


class MainTest(unittest.TestCase):
    def test_bad_settings_name_the_key(self) -> None:
        """Guards against a traceback or a started instance with invalid settings."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "bad.json"
            path.write_text('{"instance": "a", "listne": 1}', encoding="utf-8")
            for command in ("check", "run"):
                status, _, err = run(command, "--settings", str(path))
                self.assertEqual(status, 2)
                self.assertIn("listne", err)
                self.assertNotIn("Traceback", err)

    def test_unreachable_instance(self) -> None:
        """Guards against a traceback if the instance does not respond."""
        status, _, err = run("job", "status", "zarcero.1", *INSTANCE)
        self.assertEqual(status, 2)
        self.assertIn("name another instance", err)

    def test_refusal_is_printed_in_full(self) -> None:
        """Guards against hiding the reason or the retry delay of a refusal."""
        response = Response(503, {"outcome": "not_run", "reason": "no_leader", "retry_after": 2.0})
        with mock.patch.object(InstanceClient, "call", return_value=response):
            status, _, err = run("job", "submit", "sort", "--account", "farmers", *INSTANCE)
        self.assertEqual(status, 2)
        self.assertIn("no_leader", err)
        self.assertIn("retry_after", err)

    def test_submit_sends_every_option(self) -> None:
        """Guards against options that are accepted but not sent."""
        accepted = Response(202, {"outcome": "accepted", "job_id": "zarcero.1"})
        options = ["--gang-size", "8", "--urgent", "--once", "--key", "k1", "--wait", "5"]
        with mock.patch.object(InstanceClient, "call", return_value=accepted) as call:
            status, _, _ = run("job", "submit", "sort", "--account", "farmers", *options, *INSTANCE)
        self.assertEqual(status, 0)
        method, path, job = call.call_args.args
        headers = call.call_args.kwargs["headers"]
        self.assertEqual((method, path), ("POST", "/v1/jobs?wait=1"))
        self.assertEqual((job["gang_size"], job["urgency"]), (8, "urgent"))
        self.assertFalse(job["idempotent"])
        self.assertEqual(headers["Idempotency-Key"], "k1")
        self.assertEqual(headers["X-Chivefall-Timeout"], "5.0")

    def test_every_command_has_help(self) -> None:
        """Guards against commands without a help text."""
        for group in app.registered_groups:
            for command in group.typer_instance.registered_commands:
                self.assertTrue(command.callback.__doc__, command)


class DocumentCommandTest(unittest.TestCase):
    def _run(self, command: str, text: str, *options: str) -> tuple[int, str, mock.Mock]:
        current = Response(200, {"revision": 7, "accounts": {"farmers": {}}})
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "document.json"
            path.write_text(text, encoding="utf-8")
            with mock.patch.object(InstanceClient, "call", return_value=current) as call:
                status, out, _ = run("document", command, str(path), *options, *INSTANCE)
        return status, out, call

    def test_diff_ignores_comments_and_revision(self) -> None:
        """Guards against reporting differences in comments or the revision."""
        status, out, _ = self._run("diff", '{/* ours */ "accounts": {"farmers": {}}}')
        self.assertEqual((status, out), (0, ""))
        status, out, _ = self._run("diff", '{"accounts": {"captains": {}}}')
        self.assertEqual(status, 1)
        self.assertIn('+    "captains": {}', out)

    def test_section_is_compared_with_its_content(self) -> None:
        """Guards against comparing the metadata of a section."""
        reply = Response(200, {"revision": 7, "section": "accounts", "content": {"farmers": {}}})
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "accounts.json"
            path.write_text('{"farmers": {}}', encoding="utf-8")
            with mock.patch.object(InstanceClient, "call", return_value=reply):
                options = ["--section", "accounts", *INSTANCE]
                status, out, _ = run("document", "diff", str(path), *options)
                _, shown, _ = run("document", "show", *options)
        self.assertEqual((status, out), (0, ""))
        self.assertEqual(json.loads(shown), {"farmers": {}})

    def test_apply_sends_its_base_revision(self) -> None:
        """Guards against overwriting a concurrent change."""
        _, _, call = self._run("apply", '{"accounts": {}}', "--team", "planners")
        self.assertEqual(call.call_args.kwargs["headers"]["If-Match"], "7")
        _, _, call = self._run("apply", '{"accounts": {}}', "--team", "planners", "--base", "5")
        self.assertEqual(call.call_args.kwargs["headers"]["If-Match"], "5")


class ReadJsonFileTest(unittest.TestCase):
    def test_errors_name_the_file(self) -> None:
        """Guards against errors that do not name the invalid file."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "broken.json"
            path.write_text(json.dumps({})[:-1], encoding="utf-8")
            for name in (path, Path(directory) / "missing.json"):
                with self.assertRaisesRegex(RequestError, name.name):
                    read_json_file(name)
