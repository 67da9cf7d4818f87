//! Fixed-capacity list of server indexes.

/// Maximum length of a server list.
pub(crate) const MAX_LIST_LEN: usize = 48;

/// A list of distinct server indexes, stored without allocation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerList {
    items: [u32; MAX_LIST_LEN],
    len: usize,
}

impl ServerList {
    pub(crate) fn new() -> ServerList {
        ServerList { items: [0; MAX_LIST_LEN], len: 0 }
    }

    pub(crate) fn as_slice(&self) -> &[u32] {
        &self.items[..self.len]
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Appends a server if it is not in the list and there is room.
    pub(crate) fn push(&mut self, index: u32) {
        if self.len < MAX_LIST_LEN && !self.as_slice().contains(&index) {
            self.items[self.len] = index;
            self.len += 1;
        }
    }
}
