"""Tests of decoding configurations, endpoint entries and requests."""

from __future__ import annotations

import contextlib
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from auburnswitch.experiments.installation import make_config
from auburnswitch.platform.config_decoder import (
    decode_config,
    decode_endpoint,
)
from auburnswitch.platform.fields import FieldError
from auburnswitch.platform.requests import decode_request
from auburnswitch.schema.installation import RequestKind

ENTRY = {
    "Service": "desk",
    "Address": "10.0.0.1:80",
    "Zone": "zone-1",
    "Slots": 4,
    "State": "ready",
    "ColdRemainingMs": 1500,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from([*ENTRY, "Routes", "Version", "Engine"]),
            inner,
            max_size=6,
        )
    ),
    max_leaves=12,
)


class ConfigurationTest(unittest.TestCase):
    def test_whole_configuration(self):
        decoded = decode_config(make_config(9))
        self.assertEqual(decoded.version, 9)
        chat = decoded.routes[0]
        self.assertEqual(chat.kind, RequestKind.STREAM)
        self.assertEqual(chat.timeout_s, 3.0)
        self.assertEqual(chat.target_gap_s, 0.25)
        self.assertTrue(chat.resumable)
        self.assertEqual(decoded.services[0].engine.slots, 4)
        self.assertIsNone(decoded.services[1].engine)
        self.assertEqual(decoded.teams[0].caller_keys, ["key-1", "key-2"])

    def test_unknown_fields_are_ignored(self):
        data = make_config()
        data["Routes"][0]["New"] = {"a": 1}
        data["New"] = [1]
        self.assertEqual(decode_config(data).version, 1)

    def test_traffic_split(self):
        data = make_config()
        del data["Routes"][1]["Service"]
        data["Routes"][1]["TrafficSplit"] = [
            {"Service": "a", "Weight": 90},
            {"Service": "b", "Weight": 10},
        ]
        shares = decode_config(data).routes[1].shares
        self.assertEqual([s.weight for s in shares], [90, 10])

    def test_endpoint_entry(self):
        entry = decode_endpoint("i-1", ENTRY)
        self.assertEqual((entry.host, entry.port), ("10.0.0.1", 80))
        self.assertEqual(entry.cold_s, 1.5)
        self.assertTrue(entry.ready)

    def test_start_of_an_endpoint(self):
        self.assertEqual(decode_endpoint("i-1", ENTRY).boot_ms, 0)
        entry = decode_endpoint("i-1", {**ENTRY, "born": 1764800000123})
        self.assertEqual(entry.boot_ms, 1764800000123)
        for value in ("1", True, 1.5, -1, 1 << 63, 10**400, float("inf")):
            with self.subTest(value), self.assertRaises(FieldError):
                decode_endpoint("i-1", {**ENTRY, "born": value})

    # A number that didn't fit into messages between daemons ended them all.
    def test_numbers_out_of_bounds_are_rejected(self):
        for value in (0, -1, 2**31, 1e300, float("inf"), float("nan")):
            with self.subTest(value), self.assertRaises(FieldError):
                decode_endpoint("i-1", {**ENTRY, "Slots": value})
        for port in ("65536", "0", "-1", "+80", " 80", "8_0", "", "9" * 5000):
            with self.subTest(port), self.assertRaises(FieldError):
                decode_endpoint("i-1", {**ENTRY, "Address": f"10.0.0.1:{port}"})
        for value in (2**63, -1, 1e300):
            with self.subTest(value), self.assertRaises(FieldError):
                decode_config({**make_config(), "Version": value})

    def test_nested_versions_are_no_release(self):
        nested = []
        for _ in range(900):
            nested = [nested]
        entry = decode_endpoint("i-1", {**ENTRY, "Version": nested})
        self.assertEqual(entry.release, "")

    def test_huge_numbers_are_rejected(self):
        """Guards against an OverflowError, which ended the watch."""
        with self.assertRaises(FieldError):
            decode_endpoint("i-1", {**ENTRY, "ColdRemainingMs": 10**400})

    def test_entries_with_invalid_fields_are_rejected(self):
        for name in ("Service", "Address", "Zone", "Slots", "State"):
            for value in (None, [], {}, True, "resting"):
                if name in ("Service", "Zone") and value == "resting":
                    continue
                with (
                    self.subTest(name=name, value=value),
                    self.assertRaises(FieldError),
                ):
                    decode_endpoint("i-1", {**ENTRY, name: value})

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(JSON)
    def test_arbitrary_data_raises_only_field_errors(self, data):
        for decode in (
            decode_config,
            lambda value: decode_endpoint("i-1", value),
        ):
            with contextlib.suppress(FieldError):
                decode(data)


class RequestTest(unittest.TestCase):
    def _decode(self, *headers):
        return decode_request(
            method="POST", raw_path=b"/a/b", query=b"x=%20", headers=[*headers]
        )

    def test_target_is_not_changed(self):
        self.assertEqual(self._decode().target, "/a/b?x=%20")

    def test_bad_numbers_count_as_absent(self):
        request = self._decode(
            ("x-token-counts", "many"), ("x-deadline-ms", "soon")
        )
        self.assertEqual(request.prompt_tokens, 0)
        self.assertIsNone(request.deadline_s)
        for value in ("nan", "inf", "-inf"):
            request = self._decode(("x-deadline-ms", value))
            self.assertIsNone(request.deadline_s, value)

    def test_hop_by_hop_headers_are_not_forwarded(self):
        request = self._decode(
            ("connection", "keep-alive, X-Own"),
            ("x-own", "1"),
            ("x-kept", "2"),
            ("transfer-encoding", "chunked"),
        )
        self.assertEqual(request.headers, [("x-kept", "2")])

    def test_host_without_port_and_in_lower_case(self):
        self.assertEqual(
            self._decode(("host", "A.Example:80")).host, "a.example"
        )


if __name__ == "__main__":
    unittest.main()
