//! A representative set of requests through a running deployment, each checked whole.

mod sample_answer;
mod sample_client;
mod sample_list;
mod sample_row;
#[cfg(test)]
mod tests;

pub use sample_list::run_samples;
pub use sample_row::SampleRow;
pub use sample_row::sample_table;
