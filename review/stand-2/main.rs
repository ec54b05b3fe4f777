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

use std::path::Path;

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
    let own = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    // Whatever panics, also before or in a stand-in's thread, the case could not run.
    let played = std::panic::catch_unwind(|| play(case, folder, &own));
    match std::env::var("KEEP_LOGS") {
        Ok(_) => println!("logs: {}", own.display()),
        Err(_) => drop(std::fs::remove_dir_all(&own)),
    }
    let code = match played {
        Ok(broken) => i32::from(broken),
        Err(_) => 2,
    };
    std::process::exit(code);
}

// Whether the rule was broken.
fn play(case: &str, folder: &str, own: &Path) -> bool {
    let root = std::env::current_dir().expect("a working folder");
    std::fs::create_dir_all(own).expect("a temporary folder");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let of = Case {
        place: Place::find(&root, own),
        record: record.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match case {
        "stale-readers-key" => stale_readers::play(&of, stale_readers::What::Key),
        "stale-readers-runner" => stale_readers::play(&of, stale_readers::What::Runner),
        "quota-holders" => quota_holders::play(&of),
        "idle-channels" => idle_channels::play(&of),
        "slow-answer" => slow_answer::play(&of),
        "large-bodies" => large_bodies::play(&of),
        other => cannot_run(&format!("there is no case {other}")),
    };
    let word = if verdict.broken { "BROKEN" } else { "held" };
    record.note(&format!("{word}: {}", verdict.seen));
    println!("{word}: {}", verdict.seen);
    verdict.broken
}
