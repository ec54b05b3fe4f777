//! Stand-ins and cases of the second review. `stand CASE FOLDER` plays a case of the repository that it is
//! started in, and writes FOLDER/record.txt. It exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run. With TROUBLE=0 in the environment it leaves out the disruption.

mod client;
mod http;
mod idle_channels;
mod large_bodies;
mod node;
mod quota_holders;
mod record;
mod runner;
mod slow_answer;
mod stale_readers;
mod store;

use std::path::PathBuf;

use node::Place;
use record::Record;

/// What a case needs.
pub struct Case {
    pub place: Place,
    pub record: Record,
    pub trouble: bool,
}

/// Whether the rule was broken, and what was seen.
pub struct Verdict {
    pub broken: bool,
    pub seen: String,
}

/// Ends the process, as the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    // Unwinding ends the processes that were started.
    std::panic::resume_unwind(Box::new(()));
}

fn main() {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: stand CASE FOLDER");
        std::process::exit(2);
    };
    let root = std::env::current_dir().expect("a working folder");
    let pid = std::process::id();
    let own = std::env::temp_dir().join(format!("review-2-{pid}"));
    std::fs::create_dir_all(&own).expect("a temporary folder");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let case_of = Case {
        place: Place::find(&root, &own),
        record: record.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "stale-readers-key" => stale_readers::play(&case_of, stale_readers::What::Key),
        "stale-readers-runner" => stale_readers::play(&case_of, stale_readers::What::Runner),
        "idle-channels" => idle_channels::play(&case_of),
        "quota-holders" => quota_holders::play(&case_of),
        "slow-answer" => slow_answer::play(&case_of),
        "large-bodies" => large_bodies::play(&case_of),
        other => cannot_run(&format!("there is no case {other}")),
    }));
    match std::env::var("KEEP_LOGS") {
        Ok(_) => println!("logs: {}", own.display()),
        Err(_) => drop(std::fs::remove_dir_all(&own)),
    }
    let code = match played {
        Ok(verdict) => {
            let word = if verdict.broken { "BROKEN" } else { "held" };
            record.note(&format!("{word}: {}", verdict.seen));
            println!("{word}: {}", verdict.seen);
            i32::from(verdict.broken)
        }
        Err(_) => 2,
    };
    std::process::exit(code);
}
