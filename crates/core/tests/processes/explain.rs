//! `redwingdrift explain` on recorded logs.

use std::path::PathBuf;
use std::process::Command;

// A booking that ran at two targets, recorded with the code before the fix of issue 38. The other request, the
// dropped lines and the scheduler's log are made up.
const HOME: &str = r#"{"time":"2026-12-05T04:19:53.382+00:00","level":"INFO","target":"rwd_gateway::gateway","msg":"charged to the workspace's quota","event":"charged","request":"c3-26","workspace":"t1","units":"10","status":"Within"}
{"time":"2026-12-05T04:19:53.382+00:00","level":"INFO","target":"target-0","msg":"dispatching to a target","event":"dispatch","request":"c3-26","scheduler":"127-60-3-2","waited_ms":0,"expected_ms":10,"after":"None","arrivals":0,"may_repeat":false,"list_age_ms":30}
{"time":"2026-12-05T04:19:53.382+00:00","level":"INFO","target":"target-0","msg":"dispatching to a target","event":"dispatch","request":"c3-261","scheduler":"127-60-3-2","waited_ms":0,"expected_ms":10,"after":"None","arrivals":0,"may_repeat":false,"list_age_ms":30}
{"event":"log_lines_dropped","count":3}
{"time":"2026-12-05T04:19:53.383+00:00","level":"INFO","target":"target-0","msg":"the target says that it has not run the request","event":"refused_by_target","request":"c3-26","status":503,"has_id":false,"receipt":false,"earlier":2,"idle_ms":3,"ms":0,"may_repeat":false}
{"time":"2026-12-05T04:19:53.383+00:00","level":"INFO","target":"target-0","msg":"send failed","event":"send_failed","request":"c3-26","scheduler":"127-60-3-2","what":"not_run","ms":1,"events":0,"parts":""}
{"time":"2026-12-05T04:19:53.383+00:00","level":"INFO","target":"target-1","msg":"dispatching to a target","event":"dispatch","request":"c3-26","scheduler":"127-60-3-2","waited_ms":0,"expected_ms":40,"after":"None","arrivals":1,"may_repeat":false,"list_age_ms":32}
{"time":"2026-12-05T04:19:53.386+00:00","level":"INFO","target":"rwd_gateway::run","msg":"request ended","event":"answer","request":"c3-26","outcome":"answered","status":200,"route":"r-unsafe","config":1,"sends":0,"arrivals":1,"unreachable":0,"ms":4}
"#;
const SCHEDULER: &str = r#"a line that is no JSON
{"time":"2026-12-05T04:19:53.382+00:00","level":"INFO","target":"rwd_gateway::local_scheduler","msg":"refused","event":"refuse","request":"c3-26","waited_ms":0}
"#;

struct Logs(PathBuf);

impl Logs {
    fn write(name: &str) -> Self {
        let dir = format!("redwingdrift-explain-{}-{name}", std::process::id());
        let dir = std::env::temp_dir().join(dir);
        std::fs::create_dir_all(&dir).unwrap();
        std::fs::write(dir.join("front-2.log"), HOME).unwrap();
        std::fs::write(dir.join("front-1.log"), SCHEDULER).unwrap();
        Self(dir)
    }

    // Returns the exit status and the output.
    fn explain(&self, id: &str) -> (Option<i32>, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_redwingdrift"))
            .args(["explain", "--request", id])
            .args(["front-1.log", "front-2.log"].map(|f| self.0.join(f)))
            .output()
            .unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        (output.status.code(), text)
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        // A failure only leaves files in the temporary directory.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_request_that_ran_twice_is_explained_from_the_logs_of_two_nodes() {
    let (code, text) = Logs::write("twice").explain("c3-26");
    assert_eq!(code, Some(0));
    insta::assert_snapshot!(text);
}

#[test]
fn a_request_that_no_line_names_is_reported_as_such() {
    let (code, text) = Logs::write("none").explain("c3");
    assert_eq!(code, Some(1));
    assert_eq!(
        text,
        "no line names the request\nnote: 3 lines were dropped\nnote: 1 lines cannot be read\n"
    );
}
