//! The framing of responses.

use fulmargate_dispatch::BodyFraming;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;

struct FramingCase {
    method: Method,
    status: u16,
    headers: &'static [(&'static str, &'static str)],
    framing: BodyFraming,
}

const CASES: &[FramingCase] = &[
    FramingCase {
        method: Method::GET,
        status: 200,
        headers: &[("content-length", "5")],
        framing: BodyFraming::Length,
    },
    FramingCase {
        method: Method::GET,
        status: 200,
        headers: &[("transfer-encoding", "gzip, Chunked")],
        framing: BodyFraming::Chunked,
    },
    FramingCase {
        method: Method::POST,
        status: 200,
        headers: &[("transfer-encoding", "gzip"), ("transfer-encoding", "chunked")],
        framing: BodyFraming::Chunked,
    },
    FramingCase {
        method: Method::POST,
        status: 200,
        headers: &[("transfer-encoding", "chunked"), ("content-length", "5")],
        framing: BodyFraming::Chunked,
    },
    FramingCase {
        method: Method::POST,
        status: 200,
        headers: &[("transfer-encoding", "chunked, gzip")],
        framing: BodyFraming::UntilClose,
    },
    FramingCase {
        method: Method::GET,
        status: 200,
        headers: &[],
        framing: BodyFraming::UntilClose,
    },
    FramingCase { method: Method::GET, status: 204, headers: &[], framing: BodyFraming::NoBody },
    FramingCase { method: Method::GET, status: 304, headers: &[], framing: BodyFraming::NoBody },
    FramingCase {
        method: Method::HEAD,
        status: 200,
        headers: &[("content-length", "5")],
        framing: BodyFraming::NoBody,
    },
];

#[test]
fn framing_follows_the_http_standard() {
    for case in CASES {
        let status = StatusCode::from_u16(case.status).expect("a valid status");
        let mut headers = HeaderMap::new();
        for (name, value) in case.headers {
            headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        let framing = BodyFraming::of_response(&case.method, status, &headers);
        assert_eq!(framing, case.framing, "{} {} {:?}", case.method, case.status, case.headers);
    }
}
