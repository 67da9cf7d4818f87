//! `fulmargate-load`: reproducible load, checks of every answer, comparisons.

use std::process::ExitCode;

use fulmargate_load::CommandEnd;
use fulmargate_load::LoadArgs;

const EXIT_NOT_RUN: u8 = 1;
const EXIT_FAULTY: u8 = 2;

#[actix_rt::main]
async fn main() -> ExitCode {
    let args: LoadArgs = argh::from_env();
    match args.execute().await {
        Ok(CommandEnd::Sound) => ExitCode::SUCCESS,
        Ok(CommandEnd::Faulty) => ExitCode::from(EXIT_FAULTY),
        Err(error) => {
            eprintln!("fulmargate-load: {error}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}
