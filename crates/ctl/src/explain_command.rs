//! `explain`.

use std::fs;
use std::io;

use serde_json::Map;
use serde_json::Value;

use crate::CommandEnd;
use crate::CtlError;
use crate::command_end::OutputForm;
use crate::ctl_args::ExplainArgs;

/// Fields that stand at the beginning of each printed line, or say nothing of a request.
const LEFT_OUT: [&str; 5] = ["timestamp", "level", "event", "name", "id"];
const STANDARD_INPUT: &str = "standard input";

/// One log line of the request.
struct LogLine {
    timestamp: String,
    /// The file it stood in.
    source: String,
    fields: Map<String, Value>,
}

/// Collects the lines of a request from the logs of several daemons. A request that was sent again
/// by its caller has another id there; its first id's lines end with the reason.
pub(crate) fn explain(args: &ExplainArgs, form: OutputForm) -> Result<CommandEnd, CtlError> {
    let mut lines = Vec::new();
    if args.files.is_empty() {
        let text =
            io::read_to_string(io::stdin()).map_err(|err| unreadable(STANDARD_INPUT, &err))?;
        collect(&args.id, STANDARD_INPUT, &text, &mut lines);
    }
    for file in &args.files {
        let text = fs::read_to_string(file).map_err(|err| unreadable(file, &err))?;
        collect(&args.id, file, &text, &mut lines);
    }
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    if lines.is_empty() {
        let reason = format!("no line names the request {}", args.id);
        return Err(CtlError::File { file: args.files.join(", "), reason });
    }
    let all: Vec<&Map<String, Value>> = lines.iter().map(|line| &line.fields).collect();
    Ok(CommandEnd::done(form.render(&all, |_| human(&lines))))
}

/// Lines may have something before the JSON, such as the collector's time and host.
fn collect(id: &str, source: &str, text: &str, lines: &mut Vec<LogLine>) {
    for line in text.lines() {
        let Some(start) = line.find('{') else { continue };
        let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else { continue };
        if fields.get("id").and_then(Value::as_str) != Some(id) {
            continue;
        }
        let timestamp = fields.get("timestamp").and_then(Value::as_str).unwrap_or_default();
        let before = line[..start].trim();
        let source = if before.is_empty() { source } else { before };
        lines.push(LogLine { timestamp: timestamp.to_owned(), source: source.to_owned(), fields });
    }
}

fn human(lines: &[LogLine]) -> String {
    let line = |line: &LogLine| {
        let name = line.fields.get("name").and_then(Value::as_str).unwrap_or("-");
        let fields = line.fields.iter().filter(|(key, _)| !LEFT_OUT.contains(&key.as_str()));
        let fields: Vec<String> = fields.map(|(key, value)| format!("{key}={value}")).collect();
        format!("{} {} {name} {}", line.timestamp, line.source, fields.join(" "))
    };
    lines.iter().map(line).collect::<Vec<String>>().join("\n")
}

fn unreadable(file: &str, err: &io::Error) -> CtlError {
    CtlError::File { file: file.to_owned(), reason: err.to_string() }
}
