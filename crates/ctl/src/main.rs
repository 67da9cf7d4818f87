//! `fulmargate-ctl`: what operators ask of a router.

use std::process::ExitCode;

use fulmargate_ctl::CtlArgs;

#[actix_rt::main]
async fn main() -> ExitCode {
    let args: CtlArgs = argh::from_env();
    let end = args.execute().await;
    if !end.output.is_empty() {
        println!("{}", end.output);
    }
    if !end.message.is_empty() {
        eprintln!("fulmargate-ctl: {}", end.message);
    }
    ExitCode::from(end.exit.code())
}
