//! Access to the claim streams.

use std::time::Duration;

use fulmargate_names::LogOffset;
use fulmargate_platform::LogClient;
use fulmargate_platform::LogError;
use fulmargate_platform::LogPage;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use crate::GroupAppend;
use crate::PAGE_LEN;

/// A pending append.
pub type AppendFuture = LocalBoxFuture<'static, Result<LogOffset, LogError>>;
/// A pending read.
pub type ReadFuture = LocalBoxFuture<'static, Result<LogPage, LogError>>;

/// Starts an append.
pub type AppendCall = Box<dyn Fn(&str, GroupAppend) -> AppendFuture>;
/// Starts a read.
pub type ReadCall = Box<dyn Fn(&str, LogOffset, Duration) -> ReadFuture>;

/// Access to the claim streams: the platform's log, or a replacement in tests.
pub struct ClaimLog {
    /// Appends a record to a stream, without retries.
    pub append: AppendCall,
    /// Reads a stream from an offset on, waiting up to this time for new records.
    pub read: ReadCall,
}

impl ClaimLog {
    /// The platform's log.
    pub fn over(client: &LogClient) -> ClaimLog {
        let appender = client.clone();
        let reader = client.clone();
        ClaimLog {
            append: Box::new(move |stream, group| {
                let client = appender.clone();
                let stream = String::from(stream);
                async move { client.append(&stream, &group.id, &group.data).await }.boxed_local()
            }),
            read: Box::new(move |stream, from, wait| {
                let client = reader.clone();
                let stream = String::from(stream);
                async move { client.read(&stream, from, PAGE_LEN, wait).await }.boxed_local()
            }),
        }
    }
}
