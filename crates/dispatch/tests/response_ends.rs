//! The decision whether a response is complete.

use fulmargate_dispatch::BodyFraming;
use fulmargate_dispatch::BreakReason;
use fulmargate_dispatch::ContentEnd;
use fulmargate_dispatch::EndVerdict;
use fulmargate_dispatch::ResponseEnd;
use fulmargate_dispatch::ServerStanding;
use fulmargate_dispatch::TransportEnd;

const FRAMED: [BodyFraming; 3] = [BodyFraming::NoBody, BodyFraming::Length, BodyFraming::Chunked];
const CONTENTS: [ContentEnd; 5] = [
    ContentEnd::Plain,
    ContentEnd::NoEvent,
    ContentEnd::BetweenEvents,
    ContentEnd::InsideComment,
    ContentEnd::InsideEvent,
];
const STANDINGS: [ServerStanding; 4] = [
    ServerStanding::Unchecked,
    ServerStanding::Running,
    ServerStanding::Leaving,
    ServerStanding::Gone,
];

fn verdict(
    framing: BodyFraming,
    transport: TransportEnd,
    content: ContentEnd,
    server: ServerStanding,
) -> EndVerdict {
    ResponseEnd { framing, transport, content, events: 0, partial_bytes: 0 }.verdict(server)
}

/// Guards against a failed connection or an open event in a response that is called complete.
#[test]
fn no_framing_completes_a_failed_response() {
    let broken = |reason| EndVerdict::BrokenOff(reason);
    for framing in FRAMED.into_iter().chain([BodyFraming::UntilClose]) {
        for server in STANDINGS {
            for content in CONTENTS {
                let failed = verdict(framing, TransportEnd::Failed, content, server);
                assert_eq!(failed, broken(BreakReason::Connection), "{framing} {content}");
            }
            let inside = verdict(framing, TransportEnd::Finished, ContentEnd::InsideEvent, server);
            assert_eq!(inside, broken(BreakReason::InsideEvent), "{framing} {server}");
        }
    }
}

/// Guards against a whole response that is called broken: framing states its end, whatever became of the server.
#[test]
fn framing_states_the_end() {
    for framing in FRAMED {
        for server in STANDINGS {
            for content in CONTENTS.into_iter().filter(|end| *end != ContentEnd::InsideEvent) {
                let framed = verdict(framing, TransportEnd::Finished, content, server);
                assert_eq!(framed, EndVerdict::Complete, "{framing} {content} {server}");
            }
        }
    }
}

struct UnframedCase {
    content: ContentEnd,
    server: ServerStanding,
    verdict: EndVerdict,
}

const UNFRAMED: &[UnframedCase] = &[
    UnframedCase {
        content: ContentEnd::NoEvent,
        server: ServerStanding::Running,
        verdict: EndVerdict::BrokenOff(BreakReason::NoEvent),
    },
    UnframedCase {
        content: ContentEnd::InsideComment,
        server: ServerStanding::Running,
        verdict: EndVerdict::BrokenOff(BreakReason::InsideLine),
    },
    UnframedCase {
        content: ContentEnd::BetweenEvents,
        server: ServerStanding::Unchecked,
        verdict: EndVerdict::Unconfirmed,
    },
    UnframedCase {
        content: ContentEnd::Plain,
        server: ServerStanding::Unchecked,
        verdict: EndVerdict::Unconfirmed,
    },
    UnframedCase {
        content: ContentEnd::BetweenEvents,
        server: ServerStanding::Gone,
        verdict: EndVerdict::BrokenOff(BreakReason::ServerGone),
    },
    UnframedCase {
        content: ContentEnd::Plain,
        server: ServerStanding::Gone,
        verdict: EndVerdict::BrokenOff(BreakReason::ServerGone),
    },
    UnframedCase {
        content: ContentEnd::BetweenEvents,
        server: ServerStanding::Running,
        verdict: EndVerdict::Complete,
    },
    UnframedCase {
        content: ContentEnd::Plain,
        server: ServerStanding::Leaving,
        verdict: EndVerdict::Complete,
    },
];

/// Guards against the end of a process that is taken for the end of a response without framing.
#[test]
fn an_unframed_end_depends_on_the_server() {
    for case in UNFRAMED {
        let UnframedCase { content, server, .. } = *case;
        let found = verdict(BodyFraming::UntilClose, TransportEnd::Finished, content, server);
        assert_eq!(found, case.verdict, "{content} {server}");
    }
}
