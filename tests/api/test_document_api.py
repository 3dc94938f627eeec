"""Tests of the HTTP resources of the document."""

from __future__ import annotations

import json
import unittest

from chivefall.net import HttpReply, HttpRequest
from standins.cluster import Cluster


class DocumentApiTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster(domains=("zarcero", "tarrazu"), workers_per_domain=8)
        self.cluster.advance(6)
        self.names = list(self.cluster.applications)

    def call(self, method, path, body="", headers=None, instance=0, query="") -> tuple[int, dict]:
        """Send a request as team ``staff`` and return the status and decoded body."""
        headers = {"x-chivefall-team": "staff", **(headers or {})}
        req = HttpRequest(method, path, query, headers, body.encode())
        reply = self.reply(req, instance)
        return reply.status, json.loads(reply.body)

    def reply(self, req: HttpRequest, instance: int = 0) -> HttpReply:
        """Return the reply of an instance to a request."""
        api = self.cluster.applications[self.names[instance]].api
        return self.cluster.run(api._serve(req))

    def test_changes_and_reads_through_different_instances(self) -> None:
        """Guards against resources that work only on the instance that made the change."""
        section = "/v1/document/sections/accounts"
        text = "// more\n{farmers: {burst: 7}, buyers: {}}"
        status, body = self.call("PUT", section, text, {"if-match": '"1"'})
        self.assertEqual((status, body["outcome"], body["revision"]), (200, "accepted", 2))
        status, body = self.call("GET", section, instance=3)
        self.assertEqual((body["revision"], body["content"]["farmers"]["burst"]), (2, 7))
        status, body = self.call("POST", "/v1/failure-domains/zarcero/out", instance=2)
        self.assertEqual((status, body["revision"]), (200, 3))
        status, body = self.call("POST", "/v1/failure-domains/zarcero/out", instance=1)
        self.assertEqual((status, body["outcome"], body["revision"]), (200, "unneeded", 3))
        status, body = self.call("GET", "/v1/document", instance=1)
        self.assertEqual(body["failure_domains"]["zarcero"], "out_of_service")
        status, body = self.call("GET", "/v1/document/history", query="limit=1")
        self.assertEqual([item["revision"] for item in body["changes"]], [3])
        self.assertIn("out_of_service", body["changes"][0]["diff"][0])
        self.assertEqual(self.call("POST", "/v1/failure-domains/zarcero/in")[1]["revision"], 4)
        whole = self.call("GET", "/v1/document")[1]
        whole["services"] = {"booking": {"account": "buyers"}}
        status, body = self.call("PUT", "/v1/document", json.dumps(whole), {"if-match": "4"})
        self.assertEqual((status, body["revision"]), (200, 5))

    def test_reads_return_revision_and_age(self) -> None:
        """Guards against stale responses that cannot be recognized as such."""
        self.cluster.stores[self.names[0]].down = True
        self.cluster.network.cut = {frozenset((self.names[0], name)) for name in self.names[1:]}
        self.cluster.advance(10)
        reply = self.reply(HttpRequest("GET", "/v1/document"))
        self.assertEqual(reply.headers["ETag"], '"1"')
        self.assertGreater(float(reply.headers["X-Chivefall-Confirmed-Age"]), 9.0)

    def test_refusals(self) -> None:
        """Guards against error replies that do not name the cause or the remedy."""
        accounts = "/v1/document/sections/accounts"
        match = {"if-match": "1"}
        self.call("PUT", accounts, '{"farmers": {}}', match)
        owned = '{"owners": ["heads"], "accounts": ["planners"]}'
        self.call("PUT", "/v1/document/sections/owners", owned, match)
        cases = {
            "conflict": ("PUT", accounts, "{}", match, 409, '"base":1,"current":3'),
            "denied": ("PUT", accounts, "{}", {"if-match": "3"}, 403, "planners"),
            "invalid": ("PUT", accounts, '{"a": {"burst": -1}}', match, 422, "burst"),
            "no base": ("PUT", accounts, "{}", {}, 400, "If-Match"),
            "no team": ("PUT", accounts, "{}", {**match, "x-chivefall-team": ""}, 400, "Team"),
            "long team": ("PUT", accounts, "{}", {"x-chivefall-team": "t" * 64}, 400, "Team"),
            "section": ("GET", "/v1/document/sections/x", "", {}, 400, "accounts"),
            "domain": ("POST", "/v1/failure-domains/x/out", "", {}, 422, "tarrazu"),
            "resource": ("GET", "/v1/document/x", "", {}, 404, "no such resource"),
            "method": ("DELETE", "/v1/document", "", {}, 405, "GET, PUT"),
        }
        for name, (method, path, text, headers, status, part) in cases.items():
            with self.subTest(name):
                found = self.call(method, path, text, headers)
                self.assertEqual(found[0], status, found)
                self.assertIn(part, json.dumps(found[1], separators=(",", ":")))
        self.assertEqual(self.call("GET", "/v1/document/history", query="limit=x")[0], 400)

    def test_refused_and_unconfirmed_changes_are_distinguished(self) -> None:
        """Guards against reporting a change as not made although it may be in the store."""
        store = self.cluster.stores[self.names[0]]
        store.down = True
        status, body = self.call("POST", "/v1/failure-domains/zarcero/out")
        self.assertEqual((status, body["outcome"]), (503, "not_made"))
        self.assertEqual(self.call("GET", "/v1/document/history")[0], 503)
        store.down = False
        put = store.put

        async def lose_replies(*args):
            store.lose_replies = 1
            outcome = await put(*args)
            store.down = True
            return outcome

        store.put = lose_replies
        status, body = self.call("POST", "/v1/failure-domains/zarcero/out")
        self.assertEqual((status, body["outcome"]), (504, "unknown"))
        self.assertTrue(body["change_id"])

    def test_warning_for_guaranteed_gang_that_no_rack_can_hold(self) -> None:
        """Guards against a guarantee that silently cannot be met."""
        text = '[{"account": "farmers", "gang_size": 9}]'
        path = "/v1/document/sections/guarantees"
        status, body = self.call("PUT", path, text, {"if-match": "1"})
        self.assertEqual(status, 200)
        self.assertIn("no rack can hold 9 x 8 accelerators", body["warnings"][0])
