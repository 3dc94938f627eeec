"""Parsing of documents and sections; errors must name section, key and remedy."""

from __future__ import annotations

import json
import unittest

from chivefall.document import (
    decode_document,
    encode_document,
    parse_document,
    parse_section,
    placement_warnings,
)
from chivefall.errors import DocumentError
from chivefall.model import Adjacency, RackId, Section

GOOD = """
// Capacity planners own the accounts.
{
  accounts: {farmers: {max_accelerators: 64, burst: 3}, buyers: {}},
  guarantees: [{account: "farmers", gang_size: 8, accelerators: 8}],
  failure_domains: {zarcero: "in_service", tarrazu: "out_of_service"},
  services: {booking: {account: "buyers", timeout: 2.5}},
  owners: {owners: ["staff"], accounts: ["planners", "staff"]},
}
"""


class ParseTest(unittest.TestCase):
    def test_document_round_trip_through_the_store_encoding(self) -> None:
        """Guards against losing a key or an enumeration value between parser and store."""
        document = parse_document(GOOD.encode())
        self.assertEqual(document.owners[Section.ACCOUNTS], ("planners", "staff"))
        self.assertEqual(document.accounts["farmers"].burst, 3)
        self.assertEqual(decode_document(encode_document(document)), document)
        read_back = encode_document(document)
        self.assertEqual(parse_document(read_back), document)

    def test_errors_name_section_key_and_remedy(self) -> None:
        """Guards against accepting invalid entries and against unclear error messages."""
        cases = {
            "unknown section": ("accounts:", "acounts:", "acounts", "use one of"),
            "unknown key": ("burst", "brust", "accounts.farmers: .*brust", "remove the key"),
            "wrong type": ("64", '"64"', "accounts.farmers: .*max_accelerators", "correct"),
            "negative": ("64", "-1", "accounts.farmers: .*max_accelerators", "correct"),
            "infinite": ("2.5", "1e999", "services.booking: .*timeout", "correct"),
            "not a number": ("2.5", "NaN", "NaN", "finite"),
            "no members": ("gang_size: 8", "gang_size: 0", r"guarantees\[0\]: .*gang_size", "corr"),
            "unknown account": ('"farmers"', '"famers"', r"guarantees\[0\].account", "add it"),
            "service account": ('"buyers"', '"buyer"', "services.booking.account", "add it"),
            "state": ('"out_of_service"', '"out"', "failure_domains.tarrazu", "correct"),
            "domain name": ("tarrazu", '"ta.rra"', "failure_domains: 'ta.rra'", "letters"),
            "owned section": ('accounts: ["pl', 'acounts: ["pl', "owners.acounts", "use one of"),
            "no owner of owners": ('owners: ["staff"], ', "", "owners.owners", "at least one"),
            "same key twice": ("buyers: {}", "farmers: {}", "farmers|key", "correct|remove"),
            "syntax": ("accounts:", "accounts", "JSON", "correct the syntax"),
        }
        for name, (old, new, place, remedy) in cases.items():
            with self.subTest(name):
                self.assertIn(old, GOOD)
                with self.assertRaises(DocumentError) as caught:
                    parse_document(GOOD.replace(old, new, 1).encode())
                self.assertRegex(str(caught.exception), f"(?s){place}.*({remedy})")

    def test_same_key_twice_in_plain_json(self) -> None:
        """Guards against silently dropping one of two entries."""
        with self.assertRaisesRegex(DocumentError, "same key twice"):
            parse_section(Section.ACCOUNTS, b'{"a": {"burst": 1}, "a": {"burst": 2}}')

    def test_size_limits(self) -> None:
        """Guards against values too large for the store, and against a slow json5 parse."""
        accounts = {f"account-{number}": {"burst": number} for number in range(3000)}
        plain = json.dumps(accounts).encode()
        self.assertEqual(len(parse_section(Section.ACCOUNTS, plain)), 3000)
        with self.assertRaisesRegex(DocumentError, "convert it to plain JSON"):
            parse_section(Section.ACCOUNTS, b"// comment\n" + plain)
        with self.assertRaisesRegex(DocumentError, "keep it under 1000000 bytes"):
            parse_section(Section.ACCOUNTS, b" " * 1_000_000)

    def test_guarantees_that_no_rack_can_hold_cause_warnings(self) -> None:
        """Guards against accepting a guarantee that can never be honoured without a warning."""
        workers = [(RackId(f"r{rack}"), 8) for rack in range(2) for _ in range(8)]
        entry = {"account": "farmers", "gang_size": 8, "accelerators": 8}
        for size, adjacency, warned in (
            (8, Adjacency.RACK, False),
            (9, Adjacency.RACK, True),
            (9, Adjacency.DOMAIN, False),
            (2, Adjacency.WORKER, True),
        ):
            with self.subTest(size=size, adjacency=adjacency):
                raw = [{**entry, "gang_size": size, "adjacency": adjacency.value}]
                text = json.dumps({"accounts": {"farmers": {}}, "guarantees": raw}).encode()
                warnings = placement_warnings(parse_document(text), workers)
                self.assertEqual(bool(warnings), warned, warnings)
