//! Parsing of what backend servers state about themselves in answers.

use bulrushwind::protocol::http1;
use bulrushwind::protocol::stated::{self, Stated};

fn parse(fields: &str) -> Stated<f64> {
    let mut buf = bytes::BytesMut::from(format!("HTTP/1.1 200 OK\r\n{fields}\r\n").as_str());
    let head = http1::ResponseHead::take(&mut buf, 64 << 10, false);
    let head = head.unwrap().unwrap();
    stated::parse(&head.fields, "x-rate", stated::decimal)
}

#[test]
fn a_decimal_number_is_read() {
    assert_eq!(parse(""), Stated::Absent);
    assert_eq!(parse("x-rate: 1.9\r\n"), Stated::Value(1.9));
    assert_eq!(parse("X-RATE:  12 \r\n"), Stated::Value(12.0));
    assert_eq!(parse("x-rate: 0\r\n"), Stated::Value(0.0));
}

/// Guards against a decision on a value that is not a number of requests.
#[test]
fn malformed_values_are_invalid() {
    for value in ["", "-1", "+1", "1e3", "inf", "NaN", "1,9", "1.9.2", "fast"] {
        assert_eq!(parse(&format!("x-rate: {value}\r\n")), Stated::Invalid);
    }
    let huge = "9".repeat(400);
    assert_eq!(parse(&format!("x-rate: {huge}\r\n")), Stated::Invalid);
}

/// Guards against the first of two different values being taken for the only one.
#[test]
fn different_values_are_invalid() {
    let twice = |a: &str, b: &str| parse(&format!("x-rate: {a}\r\nx-rate: {b}\r\n"));
    assert_eq!(twice("2", "2"), Stated::Value(2.0));
    assert_eq!(twice("2", "9"), Stated::Invalid);
    assert_eq!(twice("2", "fast"), Stated::Invalid);
}
