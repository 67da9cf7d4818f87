//! The closed list of numbered log events.

/// What a log line reports. Numbers never change their meaning; gaps are left for kin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u16)]
pub enum EventKind {
    /// A process has started and listens.
    ProcessStarted = 1001,
    /// A process was told to stop and finishes what is open.
    StopBegun = 1002,
    /// A process has finished what was open.
    StopEnded = 1003,
    /// Settings were refused.
    SettingsRefused = 1004,
    /// The router is ready for traffic.
    RouterReady = 1005,
    /// The settings were read again and compared with those in force.
    SettingsReread = 1006,
    /// A request was refused before it ran.
    RequestRefused = 2001,
    /// A request failed.
    RequestFailed = 2002,
    /// An attempt failed and another is made.
    AttemptRetried = 2003,
    /// An answer named another request and was dropped with its connection.
    CrossedAnswer = 2004,
    /// An answer was made by other weights or another incarnation than it had to be.
    StaleAnswer = 2005,
    /// A stream was continued after a break.
    StreamResumed = 2006,
    /// A request is suspected of crashing backend servers.
    RequestSuspected = 2007,
    /// A request was convicted of crashing backend servers.
    RequestConvicted = 2008,
    /// A caller hung up.
    CallerGone = 2009,
    /// A request goes to a backend server.
    RequestSent = 2010,
    /// A request got its final answer.
    RequestEnded = 2011,
    /// A backend server was found dead after it broke off a request.
    ServerCrashed = 2012,
    /// A prompt waits at this router until an engine has room for it.
    RequestWaits = 2013,
    /// A stream stays at its silent server, as no other can go on with it.
    StreamKept = 2014,
    /// A request is handed to another entry host, which sends it to a server.
    RequestForwarded = 2015,
    /// A request of another entry host is sent to a server here.
    ForwardAccepted = 2016,
    /// A request that came over another host's connection was refused.
    ForwardRefused = 2017,
    /// A backend server that broke off a request was checked for a crash.
    CrashChecked = 2018,
    /// A request that was suspected of crashing backend servers has been completed by one.
    RequestCleared = 2019,
    /// A request that is suspected of crashing backend servers goes to one.
    SuspectSent = 2020,
    /// A caller takes up a stream that an earlier attempt has begun.
    StreamTakenUp = 2021,
    /// A crash counts against a part of prompts.
    PartSuspected = 2022,
    /// Requests with a part of prompts that crashes backend servers are rejected.
    PartConvicted = 2023,
    /// A run with a part of prompts has withdrawn crashes from it.
    PartCleared = 2024,
    /// A caller's connection was closed unread, since there is no memory for it.
    ConnectionRefused = 2025,
    /// An operator cleared a request or a part of prompts of its crashes.
    SuspicionLifted = 2026,
    /// A caller's connection was closed before its time.
    ClientClosed = 2027,
    /// A request waits for its turn, since it or a part of its prompt is suspected of crashing backend servers.
    SuspectWaits = 2028,
    /// A suspected request has given up its turn at a backend server that cannot take it.
    TurnGivenUp = 2029,
    /// A backend server was taken out of use for its failures.
    ServerEjected = 3001,
    /// A backend server is in use again.
    ServerRestored = 3002,
    /// A backend server leaves: it gets nothing new.
    ServerLeaving = 3003,
    /// A backend server has started anew and is empty.
    ServerRestarted = 3004,
    /// A gap in a server's cache events: what was believed is dropped.
    EventGap = 3005,
    /// A backend server is new in the platform's list.
    ServerListed = 3006,
    /// A backend server is no longer in the platform's list.
    ServerGone = 3007,
    /// Entries lapsed during an outage of the store; they are kept for a while.
    ServersLapsed = 3008,
    /// An entry of the platform's list names no server to use.
    ServerEntryUnusable = 3009,
    /// Next to no server can be reached from this host: their silence is taken for its own trouble.
    OwnReachDoubted = 3010,
    /// Servers can be reached again, or were not tried: their silence counts.
    OwnReachRestored = 3011,
    /// A server's entry was removed from the list right after an outage of the store; it is kept for
    /// a grace period.
    ServerLapsed = 3012,
    /// The rate limit that a server named was learned, changed or lifted.
    ServerLimitChanged = 3013,
    /// A server named a rate limit that cannot be read.
    ServerLimitUnreadable = 3014,
    /// This host reaches no server of a service.
    ServiceUnreached = 3015,
    /// This host reaches a service again.
    ServiceReached = 3016,
    /// The servers of a service fall over when they reject too many requests, or no longer do.
    ServiceBrittle = 3017,
    /// A brittle server rejected a request for want of room.
    BrittleRejection = 3018,
    /// A service has servers of several software versions.
    ServiceMixed = 3019,
    /// The slots of a brittle service's servers are divided by demand from now on, or equally again.
    SlotsDivided = 3020,
    /// An entry of the platform's list is not written any more, while others of its service are.
    ServerSilent = 3021,
    /// A configuration came into force.
    ConfigAccepted = 4001,
    /// A patch was refused.
    PatchRefused = 4002,
    /// A record of the configuration stream could not be read.
    ConfigUnreadable = 4003,
    /// A snapshot of the configuration was written.
    SnapshotWritten = 4004,
    /// The configuration is not proved to be the newest any more: requests with a key are refused.
    ConfigUnproven = 4005,
    /// The configuration is proved to be the newest again.
    ConfigProven = 4006,
    /// The log is out of reach.
    LogOut = 4101,
    /// The log is in reach again.
    LogBack = 4102,
    /// Records were lost to retention before they were read.
    LogTruncated = 4103,
    /// Records were not handed on to another router: its share of the link was used up.
    HandOnRefused = 4104,
    /// The store has come back from a copy; what was written since is lost.
    StoreRestored = 4105,
    /// A listing of a topic is in progress for long.
    ListingContinues = 4106,
    /// A topic was listed to its end.
    TopicListed = 4107,
    /// A listing of a topic was given up, since its pages do not go forward.
    ListingStalled = 4108,
    /// A claim was lost to an earlier one.
    ClaimLost = 4201,
    /// A peer was met.
    PeerUp = 5001,
    /// A peer is suspected to be gone.
    PeerSuspected = 5002,
    /// A peer is gone.
    PeerDown = 5003,
    /// A peer sent what cannot be read.
    PeerUnreadable = 5004,
    /// A later process runs under this host's name.
    PeerSuperseded = 5005,
    /// This process was not run for a while.
    HostPaused = 5006,
    /// A peer read too slowly: its link was dropped.
    PeerOverrun = 5007,
    /// A lease was taken.
    LeaseTaken = 6001,
    /// A lease was lost or lapsed.
    LeaseLost = 6002,
    /// An order was given to an engine.
    OrderGiven = 6003,
    /// An engine refused an order.
    OrderRefused = 6004,
    /// New weights of a model are wanted.
    WeightsNamed = 6005,
    /// An engine has the weights wanted.
    WeightsInPlace = 6006,
    /// The age of weights was learned from another router or the store.
    WeightsAgeLearned = 6007,
    /// A prompt was refused since all engines have weights that are too old or of unknown age.
    WeightsRefused = 6008,
    /// The ages of outdated weights were written to the store.
    WeightsRecorded = 6009,
    /// This router has given its lease up.
    LeaseReleased = 6010,
}

/// One row of the catalogue.
#[derive(Clone, Copy, Debug)]
pub struct EventRow {
    /// The event.
    pub kind: EventKind,
    /// Its name in log lines.
    pub name: &'static str,
}

macro_rules! event_rows {
    ($($kind:ident => $name:literal),* $(,)?) => {
        /// The catalogue in numerical order.
        const ROWS: &[EventRow] = &[$(EventRow { kind: EventKind::$kind, name: $name }),*];

        impl EventKind {
            /// The name in log lines.
            pub fn name(self) -> &'static str {
                match self {
                    $(EventKind::$kind => $name),*
                }
            }
        }
    };
}

event_rows! {
    ProcessStarted => "process_started",
    StopBegun => "stop_begun",
    StopEnded => "stop_ended",
    SettingsRefused => "settings_refused",
    RouterReady => "router_ready",
    SettingsReread => "settings_reread",
    RequestRefused => "request_refused",
    RequestFailed => "request_failed",
    AttemptRetried => "attempt_retried",
    CrossedAnswer => "crossed_answer",
    StaleAnswer => "stale_answer",
    StreamResumed => "stream_resumed",
    RequestSuspected => "request_suspected",
    RequestConvicted => "request_convicted",
    CallerGone => "caller_gone",
    RequestSent => "request_sent",
    RequestEnded => "request_ended",
    ServerCrashed => "server_crashed",
    RequestWaits => "request_waits",
    StreamKept => "stream_kept",
    RequestForwarded => "request_forwarded",
    ForwardAccepted => "forward_accepted",
    ForwardRefused => "forward_refused",
    CrashChecked => "crash_checked",
    RequestCleared => "request_cleared",
    SuspectSent => "suspect_sent",
    StreamTakenUp => "stream_taken_up",
    PartSuspected => "part_suspected",
    PartConvicted => "part_convicted",
    PartCleared => "part_cleared",
    ConnectionRefused => "connection_refused",
    SuspicionLifted => "suspicion_lifted",
    ClientClosed => "client_closed",
    SuspectWaits => "suspect_waits",
    TurnGivenUp => "turn_given_up",
    ServerEjected => "server_ejected",
    ServerRestored => "server_restored",
    ServerLeaving => "server_leaving",
    ServerRestarted => "server_restarted",
    EventGap => "event_gap",
    ServerListed => "server_listed",
    ServerGone => "server_gone",
    ServersLapsed => "servers_lapsed",
    ServerEntryUnusable => "server_entry_unusable",
    OwnReachDoubted => "own_reach_doubted",
    OwnReachRestored => "own_reach_restored",
    ServerLapsed => "server_lapsed",
    ServerLimitChanged => "server_limit_changed",
    ServerLimitUnreadable => "server_limit_unreadable",
    ServiceUnreached => "service_unreached",
    ServiceReached => "service_reached",
    ServiceBrittle => "service_brittle",
    BrittleRejection => "brittle_rejection",
    ServiceMixed => "service_mixed",
    SlotsDivided => "slots_divided",
    ServerSilent => "server_silent",
    ConfigAccepted => "config_accepted",
    PatchRefused => "patch_refused",
    ConfigUnreadable => "config_unreadable",
    SnapshotWritten => "snapshot_written",
    ConfigUnproven => "config_unproven",
    ConfigProven => "config_proven",
    LogOut => "log_out",
    LogBack => "log_back",
    LogTruncated => "log_truncated",
    HandOnRefused => "hand_on_refused",
    StoreRestored => "store_restored",
    ListingContinues => "listing_continues",
    TopicListed => "topic_listed",
    ListingStalled => "listing_stalled",
    ClaimLost => "claim_lost",
    PeerUp => "peer_up",
    PeerSuspected => "peer_suspected",
    PeerDown => "peer_down",
    PeerUnreadable => "peer_unreadable",
    PeerSuperseded => "peer_superseded",
    HostPaused => "host_paused",
    PeerOverrun => "peer_overrun",
    LeaseTaken => "lease_taken",
    LeaseLost => "lease_lost",
    OrderGiven => "order_given",
    OrderRefused => "order_refused",
    WeightsNamed => "weights_named",
    WeightsInPlace => "weights_in_place",
    WeightsAgeLearned => "weights_age_learned",
    WeightsRefused => "weights_refused",
    WeightsRecorded => "weights_recorded",
    LeaseReleased => "lease_released",
}

impl EventKind {
    /// The whole catalogue, for documents and tests.
    pub fn rows() -> &'static [EventRow] {
        ROWS
    }

    /// The event's number.
    pub fn number(self) -> u16 {
        self as u16
    }
}
