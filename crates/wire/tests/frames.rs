//! Decoding of frames: valid ones round-trip, malformed ones are rejected, memory stays bounded.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rwd_types::{BlockHash, Millis, Revision, TierRank, Tokens};
use rwd_wire::{Error, FrameBuffer, MAX_FRAME_BYTES, Message, Offer, ShardId, decode, encode};

fn cfg() -> Config {
    Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..Config::default()
    }
}

fn message() -> impl Strategy<Value = Message> {
    let offer = (any::<u64>(), proptest::collection::vec(any::<u64>(), 0..64));
    prop_oneof![
        Just(Message::Welcome),
        any::<u64>().prop_map(|have| Message::Pull {
            have: Revision(have)
        }),
        ".{0,200}".prop_map(|json| Message::State { json }),
        proptest::collection::vec(any::<u8>(), 0..2000).prop_map(Message::Data),
        offer.prop_map(|(n, blocks)| {
            Message::Offer(Box::new(Offer {
                pool: "m".parse().unwrap(),
                shard: ShardId {
                    region: "r".parse().unwrap(),
                    group: "m".parse().unwrap(),
                    index: n as u32,
                },
                tier: TierRank(n as u8),
                workspace: "w".parse().unwrap(),
                prompt: Tokens(n),
                output: Tokens(n / 2),
                blocks: blocks.into_iter().map(BlockHash).collect(),
                time_left: Millis(n),
            }))
        }),
    ]
}

proptest! {
    #![proptest_config(cfg())]

    #[test]
    fn messages_round_trip_however_the_bytes_are_split(
        messages in proptest::collection::vec(message(), 1..6),
        splits in proptest::collection::vec(1..97_usize, 1..40),
    ) {
        let bytes: Vec<u8> = messages.iter().flat_map(|m| encode(m).unwrap().to_vec()).collect();
        let mut frames = FrameBuffer::default();
        let mut received = Vec::new();
        let mut rest = &bytes[..];
        for split in splits.iter().cycle() {
            let (part, after) = rest.split_at((*split).min(rest.len()));
            frames.extend(part);
            while let Some(message) = frames.next_message().unwrap() {
                received.push(message);
            }
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(received, messages);
    }

    #[test]
    fn any_bytes_are_read_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode(&bytes);
        let mut frames = FrameBuffer::default();
        frames.extend(&bytes);
        while let Ok(Some(_)) = frames.next_message() {}
    }

    #[test]
    fn a_corrupted_message_does_not_panic(message in message(), at: usize, bit in 0..8_u8) {
        let mut bytes = encode(&message).unwrap().to_vec();
        let at = at % bytes.len();
        bytes[at] ^= 1_u8 << bit;
        let mut frames = FrameBuffer::default();
        frames.extend(&bytes);
        let _ = frames.next_message();
    }
}

#[test]
fn a_length_beyond_the_limit_is_rejected_before_the_body_arrives() {
    let mut frames = FrameBuffer::default();
    frames.extend(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes());
    assert!(matches!(frames.next_message(), Err(Error::TooLong { .. })));
}

#[test]
fn a_huge_collection_length_inside_a_frame_does_not_allocate() {
    // `Data` that claims a length of 2^62 bytes, followed by no bytes.
    let template = encode(&Message::Data(vec![])).unwrap();
    let tag = template[4];
    let mut body = vec![tag, 253];
    body.extend_from_slice(&(1_u64 << 62).to_le_bytes());
    assert!(matches!(decode(&body), Err(Error::Decode(_))));
}

#[test]
fn trailing_bytes_are_rejected() {
    let mut body = encode(&Message::Welcome).unwrap()[4..].to_vec();
    body.push(0);
    assert!(matches!(decode(&body), Err(Error::Trailing { extra: 1 })));
}
