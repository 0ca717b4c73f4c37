"""Tests that invalid input is refused with its code, without side effects."""

from __future__ import annotations

import asyncio
import json
import unittest

from auburnswitch.experiments.fleet import (
    CALLER_KEY,
    MODEL,
    OPERATOR_KEY,
    PLAIN_SERVICE,
    FleetOptions,
    open_fleet,
)
from auburnswitch.schema.results import ResultCode
from tests.virtual_time import SimulatedConnector, run_virtual

CALLER_HEADERS = {"Authorization": f"Bearer {CALLER_KEY}"}
OPERATOR_HEADERS = {"Authorization": f"Bearer {OPERATOR_KEY}"}
VALID_BODY = {"model": MODEL, "prompt": "hello"}
ANSWER_TIMEOUT_S = 5


def customize_settings(settings):
    settings.callers.max_body_bytes = 20_000
    settings.callers.max_header_bytes = 4_096


class BadInputTest(unittest.TestCase):
    def send(self, calls, *, operators: bool = False):
        """Sends requests; returns status, code and ``ran`` of each answer."""

        async def scenario():
            options = FleetOptions(
                engines=1,
                daemons=1,
                connector=SimulatedConnector,
                customize_settings=customize_settings,
            )
            async with open_fleet(options) as fleet:
                daemon = fleet.daemons["entry-0"]
                digest = daemon.state.digest
                server = (
                    daemon.operator_server
                    if operators
                    else daemon.caller_server
                )
                answers = []
                for method, path, call in calls:
                    async with (
                        asyncio.timeout(ANSWER_TIMEOUT_S),
                        fleet.session.request(
                            method, server.url + path, **call
                        ) as response,
                    ):
                        error = (await response.json())["error"]
                        answers.append(
                            (response.status, error["code"], error["ran"])
                        )
                self.assertEqual(daemon.state.digest, digest)
                self.assertEqual(
                    [len(e.batch.jobs()) for e in fleet.engines.values()], [0]
                )
                self.assertEqual(len(daemon.reservations.held), 0)
                return answers

        return run_virtual(scenario)

    def check(self, cases, *, operators: bool = False):
        calls = [case[:3] for case in cases]
        answers = self.send(calls, operators=operators)
        for (method, path, call, status, code), answer in zip(
            cases, answers, strict=True
        ):
            with self.subTest(method=method, path=path, call=str(call)[:80]):
                self.assertEqual(answer, (status, int(code), "no"))

    def test_callers(self):
        path = "/v1/completions"
        chat = "/v1/chat/completions"
        plain = f"/services/{PLAIN_SERVICE}/bookings"

        def post(path, status, code, *, headers=None, **call):
            headers = CALLER_HEADERS | (headers or {})
            return ("POST", path, {"headers": headers, **call}, status, code)

        def bad_field(body, *, path=path):
            return post(path, 400, ResultCode.BAD_FIELD, json=body)

        def bad_deadline(value):
            headers = {"X-Deadline-Seconds": value}
            code = ResultCode.BAD_DEADLINE
            return post(path, 400, code, headers=headers, json=VALID_BODY)

        self.check(
            [
                post(path, 413, ResultCode.BODY_TOO_LARGE, data=b"x" * 20_001),
                post(path, 400, ResultCode.BAD_JSON, data=b'{"model": '),
                post(path, 400, ResultCode.BAD_JSON, data=b"\xff\xfe"),
                post(path, 400, ResultCode.BAD_JSON, data=b"[" * 9_000),
                bad_field([1, 2]),
                bad_field({"model": MODEL}),
                bad_field({"model": 7, "prompt": "x"}),
                bad_field({"model": MODEL, "prompt": ""}),
                bad_field(VALID_BODY | {"max_tokens": "9"}),
                bad_field(VALID_BODY | {"max_tokens": 0}),
                bad_field(VALID_BODY | {"max_tokens": True}),
                bad_field({"model": MODEL, "messages": []}, path=chat),
                bad_field({"model": MODEL, "messages": [3]}, path=chat),
                bad_field(
                    {"model": MODEL, "messages": [{"content": 1}]}, path=chat
                ),
                post(
                    path,
                    404,
                    ResultCode.UNKNOWN_MODEL,
                    json=VALID_BODY | {"model": "x"},
                ),
                post("/services/none/x", 404, ResultCode.UNKNOWN_SERVICE),
                post(f"/services/{MODEL}/x", 404, ResultCode.UNKNOWN_SERVICE),
                post("/nowhere", 404, ResultCode.UNKNOWN_SERVICE),
                (
                    "GET",
                    path,
                    {"headers": CALLER_HEADERS},
                    405,
                    ResultCode.BAD_METHOD,
                ),
                bad_deadline("soon"),
                bad_deadline("0"),
                bad_deadline("-1"),
                bad_deadline("nan"),
                bad_deadline("inf"),
                bad_deadline("99999999"),
                post(
                    path,
                    431,
                    ResultCode.HEADER_TOO_LARGE,
                    headers={"X-Large": "x" * 5_000},
                    json=VALID_BODY,
                ),
                post(
                    plain,
                    400,
                    ResultCode.BAD_IDEMPOTENCY_KEY,
                    headers={"Idempotency-Key": "k" * 500},
                ),
                post(
                    plain,
                    400,
                    ResultCode.BAD_IDEMPOTENCY_KEY,
                    headers={"Idempotency-Key": ""},
                ),
            ]
        )

    def test_keys(self):
        path = "/v1/completions"
        self.check(
            [
                (
                    "POST",
                    path,
                    {"headers": headers, "json": VALID_BODY},
                    401,
                    code,
                )
                for headers, code in [
                    ({}, ResultCode.BAD_CALLER_KEY),
                    (OPERATOR_HEADERS, ResultCode.BAD_CALLER_KEY),
                    ({"Authorization": "Bearer "}, ResultCode.BAD_CALLER_KEY),
                    (
                        {"Authorization": f"Basic {CALLER_KEY}"},
                        ResultCode.BAD_CALLER_KEY,
                    ),
                ]
            ]
        )

    def test_operators(self):
        invalid = ResultCode.TICKET_INVALID

        def post(body, status=400, code=invalid, headers=OPERATOR_HEADERS):
            call = {"headers": headers, "data": body}
            return ("POST", "/tickets", call, status, code)

        def ticket(*changes, number=9):
            body = {"number": number, "author": "a", "changes": list(changes)}
            return post(json.dumps(body))

        def endpoint(**values):
            valid = {
                "service": MODEL,
                "zone": "sejong-1",
                "host": "127.0.0.1",
                "port": 1,
            }
            return ticket(
                {"kind": "endpoint", "name": "e", "endpoint": valid | values}
            )

        self.check(
            [
                post("{"),
                post("[]"),
                post('{"number": 1}'),
                post(
                    "{}",
                    401,
                    ResultCode.BAD_OPERATOR_KEY,
                    headers=CALLER_HEADERS,
                ),
                post("{}", 401, ResultCode.BAD_OPERATOR_KEY, headers={}),
                ticket(number=0),
                ticket({"kind": "team", "name": "a", "team": {}}, number=-1),
                ticket({"kind": "team", "name": "a"}),
                ticket({"kind": "team", "name": "", "team": {}}),
                ticket({"kind": "planet", "name": "a", "team": {}}),
                ticket({"kind": "team", "name": "a", "team": {"weight": -1}}),
                ticket(
                    {
                        "kind": "team",
                        "name": "a",
                        "team": {"max_in_flight": -1},
                    }
                ),
                endpoint(service="unknown"),
                endpoint(zone="unknown"),
                endpoint(host="example.org"),
                endpoint(port=0),
                endpoint(memory_tokens=-5),
                ticket(
                    {"kind": "service", "name": MODEL, "deleted": True},
                ),
            ],
            operators=True,
        )
