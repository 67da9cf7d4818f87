//! Answers as tables for a person.

use comfy_table::CellAlignment;
use comfy_table::Table;
use comfy_table::TableComponent;
use comfy_table::presets::NOTHING;
use fulmargate_config::HistoryAnswer;
use fulmargate_config::HostsAnswer;
use fulmargate_config::ServerState;
use fulmargate_config::ServersAnswer;
use fulmargate_config::StatusAnswer;
use fulmargate_config::TeamsAnswer;

/// Stands where there is nothing to say.
const NONE: &str = "-";
const HEADER_LINE: char = '─';

/// Accepted and refused patches in the order of the log.
pub(crate) fn history_table(answer: &HistoryAnswer) -> String {
    let mut rows = Vec::new();
    for entry in &answer.history.versions {
        let outcome = format!("version {}", entry.version);
        rows.push((entry.offset, entry.time_ms, entry.author.clone(), outcome, entry.id.clone()));
    }
    for entry in &answer.history.refusals {
        let outcome = format!("refused: base {}, {}", entry.base, entry.reason);
        rows.push((entry.offset, entry.time_ms, entry.author.clone(), outcome, entry.id.clone()));
    }
    rows.sort_by_key(|row| row.0);
    let mut table = new_table(&["offset", "time ms", "author", "outcome", "patch"], &[0, 1]);
    for (offset, time_ms, author, outcome, id) in rows {
        table.add_row([offset.to_string(), time_ms.to_string(), author, outcome, id]);
    }
    let unreadable = match answer.unreadable {
        0 => String::new(),
        count => format!("\n{count} records could not be read"),
    };
    format!("version {} is in force\n{table}{unreadable}", answer.version)
}

/// Entry hosts; those behind the newest version are marked.
pub(crate) fn hosts_table(answer: &HostsAnswer) -> String {
    let newest = answer.hosts.iter().map(|row| row.version).max().unwrap_or_default();
    let heads = ["host", "zone", "version", "behind", "state", "heard ms ago"];
    let mut table = new_table(&heads, &[2, 3, 5]);
    for row in &answer.hosts {
        let behind = match newest.0 - row.version.0 {
            0 => NONE.to_owned(),
            count => count.to_string(),
        };
        table.add_row([
            row.host.to_string(),
            row.zone.to_string(),
            row.version.to_string(),
            behind,
            row.state.to_string(),
            row.heard_ms_ago.to_string(),
        ]);
    }
    table.to_string()
}

/// Backend servers.
pub(crate) fn servers_table(answer: &ServersAnswer) -> String {
    let heads = ["server", "zone", "address", "serves", "wanted", "found", "open", "queue tokens"];
    let mut table = new_table(&heads, &[6, 7]);
    for row in &answer.servers {
        let service = row.service.as_ref().map(ToString::to_string);
        let wanted = match row.state {
            ServerState::Active => "active",
            ServerState::Drained => "drained",
        };
        table.add_row([
            row.server.to_string(),
            row.zone.to_string(),
            row.address.to_string(),
            service.unwrap_or_else(|| join(&row.models)),
            wanted.to_owned(),
            row.health.to_string(),
            row.open_requests.to_string(),
            row.queue_tokens.map_or(NONE.to_owned(), |count| count.to_string()),
        ]);
    }
    table.to_string()
}

/// Teams.
pub(crate) fn teams_table(answer: &TeamsAnswer) -> String {
    let heads =
        ["team", "class", "keys", "req/s", "tokens/s", "models", "services", "admitted", "refused"];
    let mut table = new_table(&heads, &[2, 3, 4, 7, 8]);
    for row in &answer.teams {
        table.add_row([
            row.team.to_string(),
            row.class.to_string(),
            row.keys.to_string(),
            row.requests_per_s.to_string(),
            row.prompt_tokens_per_s.to_string(),
            join(&row.models),
            join(&row.services),
            row.admitted.to_string(),
            row.refused.to_string(),
        ]);
    }
    table.to_string()
}

/// The router's own state, a line for each thing.
pub(crate) fn status_table(answer: &StatusAnswer) -> String {
    let yes_no = |is_true: bool| if is_true { "yes" } else { "no" }.to_owned();
    let lines = [
        ("host", answer.host.to_string()),
        ("zone", answer.zone.to_string()),
        ("version in force", answer.version.to_string()),
        ("takes traffic", yes_no(answer.ready)),
        ("stopping", yes_no(answer.stopping)),
        ("log in reach", yes_no(answer.log_reachable)),
        ("config records missing", yes_no(answer.config_gap)),
        ("peers up", answer.peers_up.to_string()),
        ("open requests", answer.open_requests.to_string()),
        ("up for seconds", answer.uptime_s.to_string()),
        ("incarnation", answer.incarnation.to_string()),
    ];
    let mut table = Table::new();
    table.load_preset(NOTHING);
    for (name, value) in lines {
        table.add_row([name.to_owned(), value]);
    }
    table.trim_fmt()
}

pub(crate) fn new_table(heads: &[&str], numbers: &[usize]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(heads);
    for part in [TableComponent::HeaderLines, TableComponent::MiddleHeaderIntersections] {
        table.set_style(part, HEADER_LINE);
    }
    for index in numbers {
        if let Some(column) = table.column_mut(*index) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table
}

fn join<T: ToString>(names: &[T]) -> String {
    if names.is_empty() {
        return NONE.to_owned();
    }
    let names: Vec<String> = names.iter().map(ToString::to_string).collect();
    names.join(", ")
}
