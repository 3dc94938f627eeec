"""Reload of the settings file."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from eliot import add_destinations, remove_destination

from chivefall.config import load_settings
from chivefall.controllers._settings import SettingsController
from chivefall.runtime import ManualClock

SETTINGS = {
    "instance": "i1",
    "region": "r",
    "failure_domain": "d",
    "listen": "127.0.0.1:1",
    "peer_listen": "127.0.0.1:2",
    "store": "127.0.0.1:3",
}


class SettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "settings.json"
        self.write()
        self.clock = ManualClock()
        self.adopted = []
        cfg = load_settings(self.path)
        self.controller = SettingsController(self.clock, self.path, cfg, self.adopted.append)
        self.lines: list[dict] = []
        add_destinations(self.lines.append)
        self.addCleanup(remove_destination, self.lines.append)
        self.controller.start()

    def write(self, **changes: object) -> None:
        self.path.write_text(json.dumps({**SETTINGS, **changes}), encoding="utf-8")

    def events(self, number: int) -> list[dict]:
        return [line for line in self.lines if f":{number}:" in line.get("message_type", "")]

    def test_change_without_a_signal_is_adopted(self) -> None:
        """Guards against ignoring a file that changes without a SIGHUP."""
        self.write(timing={"store_timeout": 0.5})
        self.clock.advance(1.5)
        self.assertEqual(self.adopted[-1].timing.store_timeout, 0.5)
        self.assertEqual(self.events(1005)[0]["changed"], ["timing"])

    def test_invalid_file_keeps_the_old_settings_and_is_logged_once(self) -> None:
        """Guards against an invalid file that stops the process or floods the log."""
        self.write(timing={"store_timeout": -1})
        self.clock.advance(5.0)
        self.assertEqual(self.adopted, [])
        self.assertEqual(len(self.events(1006)), 1)
        self.assertIn("timing.store_timeout", self.events(1006)[0]["reason"])
        self.path.unlink()
        self.clock.advance(5.0)
        self.assertEqual(len(self.events(1006)), 2)
        self.write(timing={"store_timeout": 0.7})
        self.controller.reload("SIGHUP")
        self.assertEqual(self.adopted[-1].timing.store_timeout, 0.7)


if __name__ == "__main__":
    unittest.main()
