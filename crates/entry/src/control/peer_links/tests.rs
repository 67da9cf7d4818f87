//! Which links are opened.

use fulmargate_names::HostName;

use super::LinkTable;
use super::MOST_OPENING;

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
