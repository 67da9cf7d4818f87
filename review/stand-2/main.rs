//! Stand-ins and clients of the second review's cases. Only the standard library.

mod case_crash;
mod case_leaving;
mod case_members;
mod case_parts;
mod daemon;
mod http;
mod link;
mod replica;
mod server;
mod store;
mod world;

use std::env;
use std::io;
use std::process::ExitCode;
use std::time::Duration;

use crate::server::ServerConf;
use crate::world::address_of;

const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let result = match args[..] {
        ["server", name, address, model, events, pause_ms, framing, log] => {
            let conf = server_conf(name, address, model, events, pause_ms, framing, log);
            conf.and_then(server::serve).map(|()| true)
        }
        ["crash", folder] => case_crash::run(folder.as_ref()),
        ["leaving", folder] => case_leaving::run(folder.as_ref()),
        ["members", folder] => case_members::run(folder.as_ref()),
        ["parts", folder] => case_parts::run(folder.as_ref()),
        _ => Err(io::Error::other("unknown case")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            println!("could not run: {err}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}

fn server_conf(
    name: &str,
    address: &str,
    model: &str,
    events: &str,
    pause_ms: &str,
    framing: &str,
    log: &str,
) -> io::Result<ServerConf> {
    let number = |text: &str| text.parse::<u32>().map_err(io::Error::other);
    Ok(ServerConf {
        name: name.to_owned(),
        address: address_of(address)?,
        model: if model == "-" { String::new() } else { model.to_owned() },
        events: number(events)?,
        pause: Duration::from_millis(number(pause_ms)?.into()),
        unframed: framing == "unframed",
        log: log.into(),
    })
}
