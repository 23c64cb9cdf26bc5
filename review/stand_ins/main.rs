//! Runs the cases of the review that are scripts: `review-cases CASE RECORD`.

mod bodies;
mod first_start;
mod fleet;
mod http;
mod leave;
mod quota;
mod stale;
mod upstream;
mod wire;

use std::process::ExitCode;

use fleet::Record;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: review-cases CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Record::create(&path);
    let holds = match case.as_str() {
        "bodies" => bodies::run(&record, has_trouble),
        "first-start" => first_start::run(&record, has_trouble),
        "leave" => leave::run(&record, has_trouble),
        "stale" => stale::run(&record, has_trouble),
        "quota" => quota::run(&record, has_trouble),
        _ => {
            eprintln!("no such case: {case}");
            return ExitCode::from(2);
        }
    };
    let line = if holds { "the rule held" } else { "the rule was broken" };
    record.line(line);
    println!("{line}");
    ExitCode::from(u8::from(!holds))
}
