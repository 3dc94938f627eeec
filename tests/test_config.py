"""Settings: errors in the file must be reported with the key and a remedy."""

from __future__ import annotations

import unittest

from chivefall.config import Address, parse_settings
from chivefall.errors import ConfigError

GOOD = """
// An instance of the first failure domain.
{
  "instance": "zarcero-1", "region": "meseta-central", "failure_domain": "zarcero",
  "listen": "127.0.0.1:8080", "peer_listen": "127.0.0.1:8081", "store": "127.0.0.1:2379",
  "timing": {"heartbeat": 0.5},
}
"""


class ParseSettingsTest(unittest.TestCase):
    def test_comments_and_defaults(self) -> None:
        """Guards against rejecting comments or losing default values."""
        cfg = parse_settings(GOOD)
        self.assertEqual(cfg.timing.heartbeat, 0.5)
        self.assertEqual(cfg.timing.freshness, 3.0)

    def test_errors_name_key_and_remedy(self) -> None:
        """Guards against error messages without the key or the remedy."""
        cases = {
            "unknown key": (GOOD.replace('"region"', '"regoin"'), "regoin", "remove it"),
            "wrong type": (GOOD.replace('"zarcero-1"', "7"), "instance", "correct the key"),
            "bad address": (GOOD.replace(":8080", ":80800"), "listen", "host:port"),
            "bad timing": (GOOD.replace("0.5", "0"), "timing.heartbeat", "above 0"),
            "syntax": (GOOD.replace("{", "", 1), "JSON", "correct the syntax"),
            "not an object": ("[]", "object", "between"),
        }
        for name, (text, key, remedy) in cases.items():
            with self.subTest(name), self.assertRaises(ConfigError) as caught:
                parse_settings(text)
            self.assertIn(key, str(caught.exception))
            self.assertIn(remedy, str(caught.exception))

    def test_machine_of_a_batch_instance(self) -> None:
        """Guards against machine limits of 0 and against making these settings mandatory."""
        batch = '"batch": {"ready_listen": "127.0.0.1:1", "metrics_listen": "127.0.0.1:2"%s},\n}'
        text = GOOD.rstrip().removesuffix("}")
        cfg = parse_settings(text + batch % "")
        self.assertEqual(cfg.batch.cores, float("inf"))
        for key in ("cores", "core_share", "link_mbps"):
            with self.subTest(key), self.assertRaises(ConfigError) as caught:
                parse_settings(text + batch % f', "{key}": 0')
            self.assertIn(f"batch.{key}", str(caught.exception))
            self.assertIn("use the value of the machine", str(caught.exception))

    def test_address_round_trip(self) -> None:
        """Guards against losing the port when an address is formatted and parsed."""
        self.assertEqual(Address.parse(str(Address("127.0.0.1", 80))), Address("127.0.0.1", 80))
