//! Stand-ins and drivers of the review's scripts. `stand CASE DIR` plays a case and exits with its verdict.

mod cases;
mod consumer;
mod deployment;
mod http;
mod poison;
mod replica;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let result = match args.as_slice() {
        ["store", address] => store::run(address.parse().unwrap()).map(|()| true),
        ["replica", name, address, zone, store, events, every] => {
            let shape = replica::Shape {
                events: events.parse().unwrap(),
                unframed_every: every.parse().unwrap(),
            };
            let (address, store) = (address.parse().unwrap(), store.parse().unwrap());
            replica::run(name, address, zone, store, shape).map(|()| true)
        }
        ["poisoned-part", dir] => poison::poisoned_part(dir),
        ["crash-of-three", dir] => cases::crash_of_three(dir),
        ["single-crashes", dir] => cases::single_crashes(dir),
        ["leaving", dir] => cases::leaving(dir),
        _ => Err(std::io::Error::other("unknown case")),
    };
    match result {
        Ok(true) => ExitCode::from(0),
        Ok(false) => ExitCode::from(1),
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}
