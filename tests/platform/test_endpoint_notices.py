"""Tests of the notices that endpoints give in their responses."""

from __future__ import annotations

import datetime
import email.utils
import unittest

from auburnswitch.platform.endpoint_notices import (
    EndpointNotice,
    NoticeSource,
    decode_notice,
)


def decode(status: int, **headers: str) -> EndpointNotice | None:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return decode_notice(status, named, NoticeSource.REQUEST)


class LeavingTest(unittest.TestCase):
    def test_any_response_of_the_endpoint_counts(self):
        for status in (200, 202, 400, 409, 429, 500, 503, 504):
            with self.subTest(status):
                self.assertTrue(decode(status, server_leaving="1").leaving)

    def test_response_of_another_endpoint_does_not_count(self):
        self.assertIsNone(decode(421, server_leaving="1", retry_after="5"))

    def test_other_values_are_ignored(self):
        for value in ("", "0", "yes", "11"):
            with self.subTest(value):
                self.assertIsNone(decode(200, server_leaving=value))


class RetryAfterTest(unittest.TestCase):
    def test_only_a_refusal_counts(self):
        self.assertEqual(decode(503, retry_after="2.5").retry_after_s, 2.5)
        for status in (200, 408, 429, 500):
            with self.subTest(status):
                self.assertIsNone(decode(status, retry_after="2.5"))

    def test_unusable_values_are_ignored(self):
        for value in ("", "0", "-3", "soon", "nan", "inf", "1e999", "5 s"):
            with self.subTest(value):
                self.assertIsNone(decode(503, retry_after=value))

    def test_date(self):
        date = datetime.datetime.now(datetime.UTC)
        date += datetime.timedelta(seconds=30)
        text = email.utils.format_datetime(date, usegmt=True)
        notice = decode(503, retry_after=text)
        self.assertAlmostEqual(notice.retry_after_s, 30, delta=1.5)

    def test_date_is_compared_with_the_clock_of_the_endpoint(self):
        notice = decode(
            503,
            date="Fri, 04 Dec 2015 12:00:00 GMT",
            retry_after="Fri, 04 Dec 2015 12:00:07 GMT",
        )
        self.assertEqual(notice.retry_after_s, 7)

    def test_both_statements_in_one_response(self):
        notice = decode(503, server_leaving="1", retry_after="4")
        self.assertTrue(notice.leaving)
        self.assertEqual(notice.retry_after_s, 4)


if __name__ == "__main__":
    unittest.main()
