//! Stand-ins and clients of the second review's cases. Only the standard library.

mod case_members;
mod case_parts;
mod daemon;
mod http;
mod link;
mod server;
mod store;
mod world;

use std::env;
use std::io;
use std::process::ExitCode;

const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let result = match args[..] {
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
