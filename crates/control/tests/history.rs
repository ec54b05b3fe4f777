//! Every reader of the log reaches the same configuration, whatever records the log has lost.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rwd_control::{Change, ChangeOutcome, History, LogReader, PublishId, Record};
use rwd_edge::{Batch, LogRecord};
use rwd_types::{LogOffset, Revision};
use serde_json::{Value, json};

fn configuration(deadline: u64) -> Value {
    json!({
        "preset": "ordinary",
        "presets": { "ordinary": {} },
        "zones": {},
        "tiers": { "t": { "rank": 0, "deadline": deadline } },
        "workspaces": {},
    })
}

// A change that replaces the configuration; `deadline` 0 makes it invalid.
fn change(id: &str, base: u64, deadline: u64) -> Record {
    Record::Change(Change {
        id: PublishId(id.into()),
        base: Revision(base),
        by: format!("by-{id}").into(),
        patch: json!([{ "op": "replace", "path": "", "value": configuration(deadline) }]),
    })
}

/// An in-memory log.
#[derive(Clone, Default)]
struct Records {
    first: u64,
    records: Vec<String>,
}

impl Records {
    fn push(&mut self, record: &Record) {
        self.records.push(record.to_json());
    }

    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn retain_from(&mut self, first: u64) {
        let first = first.clamp(self.first, self.next());
        self.records.drain(..(first - self.first) as usize);
        self.first = first;
    }

    fn batch(&self, from: LogOffset, max: usize) -> Batch {
        let start = from.0.max(self.first);
        let offsets = (start..self.next()).take(max);
        Batch {
            first: LogOffset(self.first),
            next: LogOffset(self.next()),
            records: offsets
                .map(|o| LogRecord {
                    offset: LogOffset(o),
                    data: self.records[(o - self.first) as usize].clone(),
                })
                .collect(),
        }
    }
}

fn read_all(reader: &mut LogReader, log: &Records, max: usize) {
    for _ in 0..10_000 {
        let batch = log.batch(reader.next, max);
        reader.apply_batch(&batch);
        if reader.caught_up && reader.next.0 >= log.next() {
            return;
        }
    }
    panic!("the reader never comes to the end");
}

fn deadline(reader: &LogReader) -> u64 {
    let tier = reader.history.config().tiers.values().next();
    tier.map_or(0, |t| t.deadline.0)
}

#[tokio::test(start_paused = true)]
async fn of_two_changes_on_one_base_the_first_wins_and_the_other_conflicts_with_its_publisher() {
    let mut history = History::default();
    for record in [change("a", 0, 10), change("b", 0, 20), change("a", 0, 10)] {
        let Record::Change(change) = record else {
            unreachable!()
        };
        history.process(&change);
    }
    assert_eq!(history.revision(), Revision(1));
    assert_eq!(
        history.outcome(&PublishId("a".into())),
        Some(&ChangeOutcome::Accepted(Revision(1)))
    );
    let conflict = ChangeOutcome::Conflict {
        in_force: Revision(1),
        winner: "by-a".into(),
    };
    assert_eq!(history.outcome(&PublishId("b".into())), Some(&conflict));
}

#[tokio::test(start_paused = true)]
async fn an_invalid_change_does_not_block_a_valid_one_on_the_same_base() {
    let mut log = Records::default();
    log.push(&change("bad", 0, 0));
    log.push(&change("good", 0, 5));
    let mut reader = LogReader::default();
    read_all(&mut reader, &log, 10);
    assert!(matches!(
        reader.history.outcome(&PublishId("bad".into())),
        Some(ChangeOutcome::Invalid(_))
    ));
    assert_eq!(deadline(&reader), 5);
}

#[tokio::test(start_paused = true)]
async fn invalid_records_are_skipped() {
    let mut log = Records::default();
    log.records.push("{\"kind\":\"change\"".into());
    log.records.push("".into());
    log.push(&change("a", 0, 7));
    log.records.push("[1,2]".into());
    let mut reader = LogReader::default();
    read_all(&mut reader, &log, 2);
    assert_eq!(
        (reader.history.revision(), deadline(&reader)),
        (Revision(1), 7)
    );
}

// A snapshot covers the log up to where its writer had read, and may be appended later. A new
// reader that starts from it must apply the changes in between as all other readers did.
#[tokio::test(start_paused = true)]
async fn a_snapshot_raced_by_a_change_leads_a_new_reader_to_the_same_state() {
    let mut log = Records::default();
    log.push(&change("a", 0, 1));
    let mut writer = LogReader::default();
    read_all(&mut writer, &log, 10);
    let snapshot = Record::Snapshot(writer.snapshot());
    log.push(&change("b", 1, 2));
    log.push(&snapshot);
    // Would be accepted if the snapshot were taken for the state at its own offset.
    log.push(&change("c", 1, 3));
    read_all(&mut writer, &log, 10);
    log.retain_from(1);
    let mut fresh = LogReader::default();
    read_all(&mut fresh, &log, 10);
    assert_eq!((deadline(&writer), deadline(&fresh)), (2, 2));
    assert_eq!(fresh.history.revision(), Revision(2));
}

#[tokio::test(start_paused = true)]
async fn a_reader_that_missed_records_applies_no_change_until_a_peer_covers_the_gap() {
    let mut log = Records::default();
    log.push(&change("a", 0, 1));
    let mut gapped = LogReader::default();
    read_all(&mut gapped, &log, 10);
    let mut current = LogReader::default();
    log.push(&change("b", 1, 2));
    log.push(&change("c", 2, 3));
    read_all(&mut current, &log, 10);
    log.retain_from(2);
    // Based on revision 1: all other readers reject it, and so must the reader with a gap.
    log.push(&change("late", 1, 9));
    read_all(&mut gapped, &log, 10);
    assert_eq!(
        (gapped.history.revision(), deadline(&gapped)),
        (Revision(1), 1)
    );
    read_all(&mut current, &log, 10);
    let changes: Vec<_> = current
        .history
        .changes_since(Revision(1))
        .unwrap()
        .into_iter()
        .cloned()
        .collect();
    assert!(gapped.catch_up(&changes, current.applied()).unwrap());
    assert_eq!(
        (gapped.history.revision(), deadline(&gapped)),
        (Revision(3), 3)
    );
    log.push(&change("d", 3, 4));
    read_all(&mut gapped, &log, 10);
    assert_eq!(deadline(&gapped), 4);
}

#[tokio::test(start_paused = true)]
async fn a_truncated_log_reverts_nothing_and_gets_a_snapshot() {
    let mut log = Records::default();
    for i in 0..5 {
        log.push(&change(&format!("c{i}"), i, i + 1));
    }
    let mut reader = LogReader::default();
    read_all(&mut reader, &log, 10);
    log.records.truncate(2);
    read_all(&mut reader, &log, 10);
    assert_eq!(
        (reader.history.revision(), deadline(&reader)),
        (Revision(5), 5)
    );
    let snapshot = reader
        .due_snapshot(std::time::Duration::from_secs(600))
        .expect("due at once");
    log.push(&Record::Snapshot(snapshot));
    log.push(&change("next", 5, 6));
    read_all(&mut reader, &log, 10);
    let mut fresh = LogReader::default();
    read_all(&mut fresh, &log, 10);
    for reader in [&reader, &fresh] {
        assert_eq!(
            (reader.history.revision(), deadline(reader)),
            (Revision(6), 6)
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_learned_from_a_peer_is_still_reported_as_accepted() {
    let mut log = Records::default();
    log.push(&change("a", 0, 1));
    let mut first = LogReader::default();
    read_all(&mut first, &log, 10);
    let mut second = LogReader::default();
    let changes: Vec<_> = first
        .history
        .changes_since(Revision(0))
        .unwrap()
        .into_iter()
        .cloned()
        .collect();
    second.catch_up(&changes, first.applied()).unwrap();
    read_all(&mut second, &log, 10);
    let outcome = second.history.outcome(&PublishId("a".into()));
    assert_eq!(outcome, Some(&ChangeOutcome::Accepted(Revision(1))));
}

#[derive(Clone, Debug)]
enum Step {
    // The base is `stale` revisions old; a `double` change is recorded twice.
    Publish {
        stale: u64,
        double: bool,
        valid: bool,
    },
    Read {
        reader: usize,
        max: usize,
    },
    Snapshot {
        reader: usize,
    },
    Retain {
        keep: u64,
    },
    Pull {
        from: usize,
        to: usize,
    },
    Restart {
        reader: usize,
    },
}

const READERS: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_u64, any::<bool>(), any::<bool>())
            .prop_map(|(stale, double, valid)| Step::Publish { stale, double, valid }),
        4 => (0..READERS, 1..6_usize).prop_map(|(reader, max)| Step::Read { reader, max }),
        1 => (0..READERS).prop_map(|reader| Step::Snapshot { reader }),
        1 => (0..8_u64).prop_map(|keep| Step::Retain { keep }),
        1 => (0..READERS, 0..READERS).prop_map(|(from, to)| Step::Pull { from, to }),
        1 => (0..READERS).prop_map(|reader| Step::Restart { reader }),
    ]
}

// The response to a pull, as `Control` chooses it.
fn pull(from: &LogReader, to: &mut LogReader) {
    let have = to.history.revision();
    if have >= from.history.revision() {
        return;
    }
    match from.history.changes_since(have) {
        Some(changes) => {
            let changes: Vec<_> = changes.into_iter().cloned().collect();
            to.catch_up(&changes, from.applied()).unwrap();
        }
        None => {
            to.install_snapshot(&from.snapshot()).unwrap();
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 600,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..Config::default()
    })]

    // The reference reader reads every record as it is appended, so it has the correct state of
    // each revision.
    #[test]
    fn every_reader_has_the_true_state_of_its_revision_and_never_goes_back(
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        let rt = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
        let _guard = rt.enter();
        let mut log = Records::default();
        let mut reference = LogReader::default();
        let mut expected_by_revision = vec![0];
        let mut readers: Vec<LogReader> = (0..READERS).map(|_| LogReader::default()).collect();
        let mut lowest = [0; READERS];
        let mut published = 0;
        for step in steps {
            match step {
                Step::Publish { stale, double, valid } => {
                    published += 1;
                    let base = reference.history.revision().0.saturating_sub(stale);
                    let record = change(&format!("p{published}"), base, if valid { published } else { 0 });
                    for _ in 0..=u8::from(double) {
                        log.push(&record);
                    }
                }
                Step::Read { reader, max } => {
                    let batch = log.batch(readers[reader].next, max);
                    readers[reader].apply_batch(&batch);
                }
                Step::Snapshot { reader } => {
                    let reader = &readers[reader];
                    if reader.history.revision() > Revision(0) {
                        log.push(&Record::Snapshot(reader.snapshot()));
                    }
                }
                Step::Retain { keep } => log.retain_from(log.next().saturating_sub(keep)),
                Step::Pull { from, to } if from != to => {
                    let mut to_reader = std::mem::take(&mut readers[to]);
                    pull(&readers[from], &mut to_reader);
                    readers[to] = to_reader;
                }
                Step::Pull { .. } => (),
                Step::Restart { reader } => {
                    readers[reader] = LogReader::default();
                    lowest[reader] = 0;
                }
            }
            // Reads each record before retention can drop it.
            read_all(&mut reference, &log, 1000);
            while expected_by_revision.len() as u64 <= reference.history.revision().0 {
                expected_by_revision.push(deadline(&reference));
            }
            for (i, reader) in readers.iter().enumerate() {
                let revision = reader.history.revision().0;
                prop_assert!(revision >= lowest[i], "went back");
                lowest[i] = revision;
                prop_assert!((revision as usize) < expected_by_revision.len(), "ahead of the truth");
                prop_assert_eq!(deadline(reader), expected_by_revision[revision as usize]);
            }
        }
        // Once the log keeps its records, all readers converge on the reference.
        log.push(&Record::Snapshot(reference.snapshot()));
        read_all(&mut reference, &log, 1000);
        if reference.history.revision() > Revision(0) {
            for reader in &mut readers {
                read_all(reader, &log, 5);
                prop_assert_eq!(reader.history.revision(), reference.history.revision());
                prop_assert_eq!(deadline(reader), deadline(&reference));
            }
        }
    }

    #[test]
    fn any_record_text_is_read_without_panic(text in ".{0,120}") {
        let _ = Record::from_json(&text);
    }
}
