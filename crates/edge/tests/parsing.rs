//! Parsing of targets' events, split at any byte and with bounded memory, and of prompt blocks.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rwd_edge::{
    BLOCK_TOKENS, BYTES_PER_TOKEN, MAX_BLOCKS, MAX_EVENT_BYTES, SseParser, prompt_blocks,
};

fn cfg() -> Config {
    Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(14),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(cfg())]

    #[test]
    fn events_are_parsed_however_the_bytes_are_split(
        data in proptest::collection::vec("[^\r\n]{0,40}", 1..20),
        chunk_len in 1..13_usize,
        crlf: bool,
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let text: String = data.iter().enumerate()
            .map(|(i, d)| format!(": a comment{end}id: {i}{end}data: {d}{end}{end}"))
            .collect();
        let mut parser = SseParser::default();
        let mut received = Vec::new();
        for part in text.as_bytes().chunks(chunk_len) {
            parser.extend(part);
            while let Some(event) = parser.next_event().unwrap() {
                received.push((event.id, event.data));
            }
        }
        let sent: Vec<_> = data.into_iter().enumerate().map(|(i, d)| (Some(i as u64), d)).collect();
        prop_assert_eq!(received, sent);
    }

    #[test]
    fn any_bytes_are_read_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..500)) {
        let mut parser = SseParser::default();
        parser.extend(&bytes);
        while let Ok(Some(_)) = parser.next_event() {}
    }

    #[test]
    fn prompts_share_exactly_the_blocks_of_their_common_prefix(
        shared in 0..6_usize,
        a in 0..4_usize,
        b in 0..4_usize,
    ) {
        let block = |c: char| c.to_string().repeat(BLOCK_TOKENS * BYTES_PER_TOKEN);
        let head: String = (0..shared).map(|_| block('s')).collect();
        let of = |c: char, n: usize| {
            let tail: String = (0..n).map(|_| block(c)).collect();
            prompt_blocks("m", &(head.clone() + &tail))
        };
        let (left, right) = (of('a', a), of('b', b));
        let same = left.iter().zip(&right).take_while(|(x, y)| x == y).count();
        prop_assert_eq!(same, shared);
        prop_assert_ne!(prompt_blocks("other", &block('a')), prompt_blocks("m", &block('a')));
    }
}

#[test]
fn an_overlong_line_is_rejected() {
    let mut parser = SseParser::default();
    parser.extend(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert!(parser.next_event().is_err());
}

#[test]
fn an_overlong_event_of_many_lines_is_rejected() {
    let mut parser = SseParser::default();
    let line = format!("data: {}\n", "x".repeat(1000));
    let mut rejected = false;
    for _ in 0..=MAX_EVENT_BYTES / 1000 {
        parser.extend(line.as_bytes());
        rejected |= parser.next_event().is_err();
    }
    assert!(rejected);
}

#[test]
fn a_long_prompt_has_a_bounded_number_of_blocks() {
    let prompt = "x".repeat(BLOCK_TOKENS * BYTES_PER_TOKEN * (MAX_BLOCKS + 10));
    assert_eq!(prompt_blocks("m", &prompt).len(), MAX_BLOCKS);
}
