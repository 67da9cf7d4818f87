//! `entry` and `explain`.

use std::fs;

use argh::FromArgs;
use fulmargate_ctl::CommandEnd;
use fulmargate_ctl::CtlArgs;
use fulmargate_ctl::ExitKind;

async fn run(args: &[&str]) -> CommandEnd {
    let args = CtlArgs::from_args(&["fulmargate-ctl"], args).expect("arguments");
    args.execute().await
}

struct ExplainCase {
    name: &'static str,
    /// Logs of two hosts.
    logs: [&'static str; 2],
    exit: ExitKind,
    /// Event names in the order printed.
    events: &'static [&'static str],
}

const CASES: &[ExplainCase] = &[
    ExplainCase {
        name: "lines of two hosts in order of time, with a collector's prefix",
        logs: [
            "8.7 host-1 {\"timestamp\":\"T3\",\"name\":\"request_failed\",\"id\":\"a\"}\nnoise\n",
            "{\"timestamp\":\"T1\",\"name\":\"request_sent\",\"id\":\"a\",\"server\":\"s\"}\n\
             {\"timestamp\":\"T2\",\"name\":\"request_sent\",\"id\":\"b\"}\n",
        ],
        exit: ExitKind::Done,
        events: &["request_sent", "request_failed"],
    },
    ExplainCase {
        name: "an id that no line names",
        logs: ["{\"timestamp\":\"T1\",\"name\":\"request_sent\",\"id\":\"b\"}\n", ""],
        exit: ExitKind::Usage,
        events: &[],
    },
];

#[actix_rt::test]
async fn explain_puts_lines_in_order() {
    let folder = std::env::temp_dir().join(format!("explain-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let files = ["one.log", "two.log"].map(|name| folder.join(name).display().to_string());
    for case in CASES {
        for (file, log) in files.iter().zip(case.logs) {
            fs::write(file, log).expect("a log");
        }
        let end = run(&["explain", "a", &files[0], &files[1]]).await;
        assert_eq!(end.exit, case.exit, "{}: {}", case.name, end.message);
        let events: Vec<&str> = end
            .output
            .lines()
            .filter_map(|line| line.split(' ').find(|word| word.starts_with("request_")))
            .collect();
        assert_eq!(events, case.events, "{}", case.name);
    }
    fs::remove_dir_all(&folder).expect("the folder is removed");
}

#[actix_rt::test]
async fn a_daemon_out_of_reach_is_said_so() {
    let end = run(&["entry", "127.0.0.1:1"]).await;
    assert_eq!(end.exit, ExitKind::Unreachable);
    assert!(end.message.contains("127.0.0.1:1"), "{}", end.message);
}
