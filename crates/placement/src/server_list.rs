//! A short list of servers of a view.

/// Longest list.
pub(crate) const MAX_LIST_LEN: usize = 48;

/// Indexes of servers of a view, each at most once, without allocation.
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

    /// Adds a server that is not in the list yet, if there is room.
    pub(crate) fn push(&mut self, index: u32) {
        if self.len < MAX_LIST_LEN && !self.as_slice().contains(&index) {
            self.items[self.len] = index;
            self.len += 1;
        }
    }
}
