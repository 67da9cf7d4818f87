//! At-most-once calls: claims in the platform's log, their fold, and the desk that makes them.
//!
//! `ClaimBook` is the pure fold of a claim stream. `ShardDesk` decides, without I/O, what to append, what to answer and when to
//! look again; `ClaimDesk` runs it on the control thread, and `ClaimHandle` asks it from any thread.

mod claim_book;
mod claim_record;
mod claimer_table;
mod held_claim;
mod key_hash;
mod key_view;
mod record_effect;

pub use claim_book::ClaimBook;
pub use claim_record::CallOutcome;
pub use claim_record::ClaimEntry;
pub use claim_record::ClaimMemory;
pub use claim_record::ClaimOutcome;
pub use claim_record::ClaimRecord;
pub use claim_record::ClaimRelease;
pub use claim_record::ClaimerId;
pub use claim_record::KeptBody;
pub use claim_record::NewClaim;
pub use claim_record::RECORD_LAYOUT;
pub use claim_record::RanOutcome;
pub use claim_record::RenewedClaim;
pub use claim_record::RenewedState;
pub use held_claim::RanPlace;
pub use key_hash::ClaimKey;
pub use key_hash::KeyHash;
pub use key_hash::RequestPrint;
pub use key_view::ClaimerGone;
pub use key_view::KeyView;
pub use record_effect::BookChange;
pub use record_effect::BookError;
pub use record_effect::RecordEffect;
