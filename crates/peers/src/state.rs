//! What one host holds, and the rules by which it changes.

pub(crate) mod byte_allowance;
pub(crate) mod digest_cells;
pub(crate) mod item_table;
pub(crate) mod lazy_queue;
pub(crate) mod member_table;
pub(crate) mod neighbor_set;
pub(crate) mod probe_book;
pub(crate) mod rumor_queue;
