//! Which links are opened.

use std::time::Duration;

use bytes::Bytes;
use fulmargate_names::HostName;
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::LinkTable;
use super::MOST_OPENING;
use super::SharedTable;
use super::open;

/// Waits are bounded by so many looks; how long one takes is of no matter.
const MOST_LOOKS: usize = 200;
const LOOK_PACE: Duration = Duration::from_millis(10);

/// A host that has just started answers by an old configuration, though the store is well.
/// It opened a link to each of 90 other routers at the same time, had no processor time left, and its reads
/// of the store timed out with the links. Only a few are opened at a time; the next follow as these are done.
#[test]
fn few_links_are_opened_at_a_time() {
    let hosts: Vec<HostName> =
        (0..90).map(|number| HostName::new(&format!("host-{number}"))).collect();
    let mut table = LinkTable::default();
    for host in &hosts {
        if table.may_open(host) {
            table.opening.insert(host.clone());
        }
    }
    assert_eq!(table.opening.len(), MOST_OPENING);
    table.opening.swap_remove(&hosts[0]);
    assert!(!table.may_open(&hosts[1]), "it is being opened");
    assert!(table.may_open(&hosts[50]), "one of the first is done");
}

/// How a link ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkEnd {
    /// The other process ends, and its connections with it.
    Connection,
    /// The other router gives up the stream and keeps the connection.
    Stream,
}

struct EndCase {
    name: &'static str,
    end: LinkEnd,
}

const ENDS: &[EndCase] = &[
    EndCase { name: "the other process ends", end: LinkEnd::Connection },
    EndCase { name: "the other router drops the stream", end: LinkEnd::Stream },
];

/// A host that has been started anew hears no other router as long as it lives, takes itself for the only
/// one, and reads all engines' events.
/// The others' links led to its old process. Such a link lets no byte through, and a message that finds no
/// room in a link is left out without a word, as it is for a router that is slow; so the links stayed, and
/// no other was opened.
#[test]
fn a_link_that_has_ended_is_opened_again() {
    for case in ENDS {
        actix_rt::System::new().block_on(check_end(case));
    }
}

async fn check_end(case: &EndCase) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    actix_rt::spawn(hear_once(listener, case.end));
    let host = HostName::new("other");
    let table = SharedTable::default();
    open(table.clone(), host.clone(), address).await;
    assert!(table.borrow().links.contains_key(&host), "{}: it opens", case.name);
    for _ in 0..MOST_LOOKS {
        table.borrow_mut().send(&host, &Bytes::from_static(b"a word"));
        if !table.borrow().links.contains_key(&host) {
            break;
        }
        sleep(LOOK_PACE).await;
    }
    let table = table.borrow();
    assert!(!table.links.contains_key(&host), "{}: the link is still there", case.name);
    assert!(table.failed.contains_key(&host), "{}: it is to be opened again", case.name);
}

/// Takes one link, hears a word and ends it.
async fn hear_once(listener: TcpListener, end: LinkEnd) {
    let (stream, _) = listener.accept().await.expect("a link");
    let mut connection = h2::server::handshake(stream).await.expect("a handshake");
    let (request, respond) = connection.accept().await.expect("a stream").expect("a good one");
    let mut body = request.into_body();
    let heard = actix_rt::spawn(async move {
        let word = body.data().await;
        drop(respond);
        word.is_some()
    });
    if end == LinkEnd::Stream {
        // Driven until the other end leaves.
        while connection.accept().await.is_some() {}
        return;
    }
    tokio::select! {
        _ = heard => {}
        _ = connection.accept() => {}
    }
}
