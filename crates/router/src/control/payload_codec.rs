//! Encoding of the items that routers publish to each other; the exchange carries them as opaque bytes.

use std::time::Duration;

use bincode::Decode;
use bincode::Encode;
use bincode::config::Configuration;
use bytes::Bytes;
use fulmargate_admission::CrashId;
use fulmargate_admission::CrashProof;
use fulmargate_admission::CrashSighting;
use fulmargate_admission::Fingerprint;
use fulmargate_admission::SuspectVerdict;
use fulmargate_admission::TeamUsage;
use fulmargate_admission::UsageReport;
use fulmargate_admission::VerdictStanding;
use fulmargate_names::Incarnation;
use fulmargate_names::PromptHash;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use fulmargate_placement::DemandReport;
use fulmargate_placement::PrefixDemand;
use fulmargate_placement::PrefixSpread;
use fulmargate_placement::ServerShare;
use fulmargate_placement::SpreadPlan;
use indexmap::IndexSet;

const CODEC: Configuration = bincode::config::standard();

#[derive(Encode, Decode)]
struct UsageWire {
    reach: u64,
    teams: Vec<(String, f32, f32)>,
}

#[derive(Encode, Decode)]
struct SuspectWire {
    print: u128,
    standing: u8,
    running_on: Option<String>,
    crashes: Vec<(String, u64, u64, bool)>,
    cleared: Vec<(String, u64)>,
}

#[derive(Encode, Decode)]
struct DemandWire {
    requests_per_s: f32,
    /// Prefix, requests in 100 seconds, uncached tokens of a request.
    groups: Vec<(u64, u32, u32)>,
}

#[derive(Encode, Decode)]
struct PlanWire {
    version: u64,
    servers: Vec<String>,
    spreads: Vec<(u64, Vec<(u32, f32)>)>,
}

fn encode<T: Encode>(wire: T) -> Bytes {
    Bytes::from(bincode::encode_to_vec(wire, CODEC).unwrap_or_default())
}

fn decode<T: Decode<()>>(bytes: &[u8]) -> Option<T> {
    Some(bincode::decode_from_slice(bytes, CODEC).ok()?.0)
}

/// Writes what teams ask of this router.
pub(crate) fn encode_usage(report: &UsageReport) -> Bytes {
    let row = |usage: &TeamUsage| {
        (usage.team.to_string(), usage.requests_per_s, usage.prompt_tokens_per_s)
    };
    encode(UsageWire { reach: report.view_digest, teams: report.teams.iter().map(row).collect() })
}

/// Reads what teams ask of another router.
pub(crate) fn decode_usage(bytes: &[u8]) -> Option<UsageReport> {
    let wire: UsageWire = decode(bytes)?;
    let usage = |(team, requests, tokens): (String, f32, f32)| TeamUsage {
        team: TeamName::new(&team),
        requests_per_s: requests,
        prompt_tokens_per_s: tokens,
    };
    Some(UsageReport {
        view_digest: wire.reach,
        teams: wire.teams.into_iter().map(usage).collect(),
    })
}

/// Writes what is held of a request.
pub(crate) fn encode_verdict(verdict: &SuspectVerdict) -> Bytes {
    let crash = |sighting: &CrashSighting| {
        let age_ms = sighting.age.as_millis() as u64;
        let is_confirmed = sighting.proof == CrashProof::Confirmed;
        (sighting.crash.server.to_string(), sighting.crash.incarnation.0, age_ms, is_confirmed)
    };
    encode(SuspectWire {
        print: verdict.fingerprint.0,
        standing: standing_code(verdict.standing),
        running_on: verdict.running_on.as_ref().map(ServerName::to_string),
        crashes: verdict.crashes.iter().map(crash).collect(),
        cleared: verdict
            .cleared
            .iter()
            .map(|id| (id.server.to_string(), id.incarnation.0))
            .collect(),
    })
}

/// Reads what another router holds of a request.
pub(crate) fn decode_verdict(bytes: &[u8]) -> Option<SuspectVerdict> {
    let wire: SuspectWire = decode(bytes)?;
    let id = |server: &str, incarnation: u64| CrashId {
        server: ServerName::new(server),
        incarnation: Incarnation(incarnation),
    };
    let sighting = |(server, incarnation, age_ms, is_confirmed): &(String, u64, u64, bool)| {
        let proof = if *is_confirmed { CrashProof::Confirmed } else { CrashProof::Broken };
        CrashSighting {
            crash: id(server, *incarnation),
            age: Duration::from_millis(*age_ms),
            proof,
        }
    };
    Some(SuspectVerdict {
        fingerprint: Fingerprint(wire.print),
        standing: standing_of(wire.standing)?,
        running_on: wire.running_on.as_deref().map(ServerName::new),
        crashes: wire.crashes.iter().map(sighting).collect(),
        cleared: wire.cleared.iter().map(|(server, number)| id(server, *number)).collect(),
    })
}

/// The key under which the newest record of a verdict is kept.
pub(crate) fn verdict_part(verdict: &SuspectVerdict) -> u64 {
    verdict.fingerprint.0 as u64
}

/// Writes what prefixes are asked for here.
pub(crate) fn encode_demand(report: &DemandReport) -> Bytes {
    let group = |demand: &PrefixDemand| {
        (demand.prefix.0, (demand.requests_per_s * 100.0) as u32, demand.uncached_tokens as u32)
    };
    encode(DemandWire {
        requests_per_s: report.requests_per_s as f32,
        groups: report.groups.iter().map(group).collect(),
    })
}

/// Reads what prefixes are asked for at another router.
pub(crate) fn decode_demand(bytes: &[u8]) -> Option<DemandReport> {
    let wire: DemandWire = decode(bytes)?;
    let group = |(prefix, requests, uncached): (u64, u32, u32)| PrefixDemand {
        prefix: PromptHash(prefix),
        requests_per_s: f64::from(requests) / 100.0,
        uncached_tokens: f64::from(uncached),
    };
    Some(DemandReport {
        requests_per_s: f64::from(wire.requests_per_s),
        groups: wire.groups.into_iter().map(group).collect(),
    })
}

/// Writes where hot prefixes are kept; each server's name once.
pub(crate) fn encode_plan(plan: &SpreadPlan) -> Bytes {
    let mut names: IndexSet<String> = IndexSet::new();
    let mut spreads = Vec::new();
    for spread in &plan.spreads {
        let share = |share: &ServerShare| {
            let (index, _) = names.insert_full(share.server.as_str().to_owned());
            (index as u32, share.share as f32)
        };
        spreads.push((spread.group.0, spread.shares.iter().map(share).collect()));
    }
    let servers = names.into_iter().collect();
    encode(PlanWire { version: plan.version, servers, spreads })
}

/// Reads where another router wants hot prefixes kept.
pub(crate) fn decode_plan(bytes: &[u8]) -> Option<SpreadPlan> {
    let wire: PlanWire = decode(bytes)?;
    let servers: Vec<ServerName> = wire.servers.iter().map(|name| ServerName::new(name)).collect();
    let mut spreads = Vec::new();
    for (group, shares) in wire.spreads {
        let share = |(index, share): (u32, f32)| {
            let server = servers.get(index as usize)?.clone();
            Some(ServerShare { server, share: f64::from(share) })
        };
        let shares: Option<Vec<ServerShare>> = shares.into_iter().map(share).collect();
        spreads.push(PrefixSpread { group: PromptHash(group), shares: shares? });
    }
    // Readers search by group.
    spreads.sort_unstable_by_key(|spread| spread.group);
    Some(SpreadPlan { version: wire.version, spreads })
}

fn standing_code(standing: VerdictStanding) -> u8 {
    match standing {
        VerdictStanding::Innocent => 0,
        VerdictStanding::Suspect => 1,
        VerdictStanding::Convicted => 2,
    }
}

fn standing_of(code: u8) -> Option<VerdictStanding> {
    match code {
        0 => Some(VerdictStanding::Innocent),
        1 => Some(VerdictStanding::Suspect),
        2 => Some(VerdictStanding::Convicted),
        _ => None,
    }
}
