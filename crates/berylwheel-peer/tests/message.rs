//! Encoding of messages, and robustness of decoding against invalid frames.

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::cell::Cell;

use berylwheel_peer::ChangeBatch;
use berylwheel_peer::ClaimState;
use berylwheel_peer::DecodeError;
use berylwheel_peer::FRAME_LIMIT;
use berylwheel_peer::FeedNews;
use berylwheel_peer::Message;
use berylwheel_peer::PeerState;
use berylwheel_peer::RelayedChange;
use berylwheel_peer::ServedShare;
use berylwheel_peer::ServerSpeed;
use berylwheel_types::BillKey;
use berylwheel_types::LoanResponse;
use berylwheel_types::Millis;
use berylwheel_types::Rank;
use berylwheel_types::StoreEra;
use berylwheel_types::Timestamp;
use berylwheel_types::Tokens;
use berylwheel_types::Version;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20_260_107;

/// The maximum memory for decoding, in bytes: the message, which takes up to twice the frame size
/// while its last list grows, and the capacity that `serde` preallocates, at most 1 MB per nesting
/// level.
const MEMORY_LIMIT_BYTES: usize = 4 * FRAME_LIMIT;

thread_local! {
    static USED_BYTES: Cell<usize> = const { Cell::new(0) };
    static PEAK_BYTES: Cell<usize> = const { Cell::new(0) };
}

/// An allocator that counts the memory allocated by each thread.
struct CountingAllocator;

// SAFETY: all calls are forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let used = USED_BYTES.get() + layout.size();
        USED_BYTES.set(used);
        PEAK_BYTES.set(PEAK_BYTES.get().max(used));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        USED_BYTES.set(USED_BYTES.get().saturating_sub(layout.size()));
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Decodes a frame and returns the result and the peak memory used, in bytes.
fn decode_measured(frame: &[u8]) -> (Result<Message, DecodeError>, usize) {
    let before = USED_BYTES.get();
    PEAK_BYTES.set(before);
    let result = Message::decode(frame);
    (result, PEAK_BYTES.get() - before)
}

fn heartbeat(others: usize, served: usize) -> Message {
    let other = |n: usize| PeerState {
        incarnation: format!("r{n}@1767225600000{n:06}").parse().unwrap(),
        counter: 1_000_000,
        domain: "gujarat-west-2".parse().unwrap(),
        address: "10.20.30.40:7400".parse().unwrap(),
        version: Some(Version(2_200)),
        draining: false,
        suspect: false,
    };
    let share = |n: usize| ServedShare {
        workspace: format!("workspace-{n}").parse().unwrap(),
        rank: Rank::Urgent,
        tokens: Tokens(1_000_000),
    };
    let own = other(0);
    Message::Heartbeat {
        incarnation: own.incarnation,
        counter: own.counter,
        domain: own.domain,
        address: own.address,
        version: own.version,
        draining: own.draining,
        others: (0..others).map(other).collect(),
        served: (0..served).map(share).collect(),
        clock: Timestamp::from_millis(1 << 41),
        reaches: true,
    }
}

fn messages() -> Vec<Message> {
    let key = BillKey::new(&"w1".parse().unwrap(), "k");
    vec![
        heartbeat(8, 48),
        Message::ConfigVersion { version: Version(9) },
        Message::ConfigPull { version: Version(9), have: vec!["d1".into(), "d2".into()] },
        Message::ConfigParts { root: vec![1, 2], parts: vec![(1, vec![3; 500])] },
        Message::Recall { budget: "w1/main".parse().unwrap() },
        Message::Claim {
            id: 7,
            key,
            attempt: "a1".parse().unwrap(),
            owner: "r1@5".parse().unwrap(),
            digest: 9,
        },
        Message::ClaimAnswer { id: 7, answer: ClaimState::Running },
        Message::ClaimEnd { key, attempt: "a1".parse().unwrap(), delivered: true },
        Message::Leaving { server: "e1".parse().unwrap() },
        Message::Borrow {
            id: 3,
            owner: "r1@4".parse().unwrap(),
            budget: "w1/main".parse().unwrap(),
            amount: Tokens(500),
            time: Millis(6_000),
        },
        Message::Lent {
            id: 3,
            owner: "r1@4".parse().unwrap(),
            answer: LoanResponse::Wait(Millis(900)),
        },
        Message::Repaid { id: 3, owner: "r1@4".parse().unwrap(), used: Tokens(120) },
        Message::StoreRegained,
        Message::ServerEnded { server: "e1".parse().unwrap(), age: Millis(5), suspects: vec![] },
        Message::AnswerQuery { parts: vec![], since: Millis(5) },
        Message::PartAnswers { answers: vec![] },
        Message::Quarantine { holds: vec![] },
        store_news(),
    ]
}

fn store_news() -> Message {
    let change = |revision: u64| RelayedChange {
        key: format!("servers/e{revision}"),
        value: vec![7; 300],
        revision,
        deleted: revision == 9,
    };
    let batch =
        ChangeBatch { base: 7, through: 9, omitted: false, changes: vec![change(8), change(9)] };
    let quiet =
        FeedNews { prefix: "op/".into(), era: StoreEra(2), changed: 4, age: None, batch: None };
    let feeds = vec![
        quiet.clone(),
        FeedNews { prefix: "servers/".into(), age: Some(Millis(20)), batch: Some(batch), ..quiet },
    ];
    Message::StoreNews { origin: "r1@4".parse().unwrap(), sequence: 900, feeds }
}

/// Guards against fields that are lost in encoding, and against changes to the order of variants.
#[test]
fn messages_round_trip() {
    for (n, message) in messages().into_iter().enumerate() {
        let frame = message.encode().unwrap();
        assert_eq!(usize::from(frame[0]), n, "{message:?}");
        assert_eq!(Message::decode(&frame), Ok(message));
    }
}

/// Guards against heartbeats that exceed the bandwidth planned for control traffic: four heartbeats
/// per second, each with 8 states and 48 shares, must take less than half of 20 KB/s.
#[test]
fn heartbeat_size_is_within_bandwidth_limit() {
    let sizes = [(8, 0), (8, 48)].map(|(o, s)| heartbeat(o, s).encode().unwrap().len());
    println!("heartbeat with 8 states: {} bytes, with 48 shares as well: {}", sizes[0], sizes[1]);
    assert!(4 * sizes[1] < 20_000 / 2, "{sizes:?}");
}

/// Guards against lost fields, and against speeds of servers that exceed the bandwidth planned for
/// control traffic: four heartbeats per second with 16 entries each must take less than half of 20 KB/s.
#[test]
fn server_speeds_round_trip_and_are_small() {
    let speed = |n: usize| ServerSpeed {
        server: format!("engine-{n:04}.region-west-a").parse().unwrap(),
        class: 2,
        permille: 4_000,
        samples: 200,
        age: Millis(900),
    };
    let message = |count| Message::ServerSpeeds { speeds: (0..count).map(speed).collect() };
    let frame = message(16).encode().unwrap();
    assert_eq!(Message::decode(&frame), Ok(message(16)));
    let sizes = [heartbeat(8, 48).encode().unwrap().len(), frame.len()];
    println!("heartbeat: {} bytes, speeds: {}", sizes[0], sizes[1]);
    assert!(4 * (sizes[0] + sizes[1]) < 20_000 / 2, "{sizes:?}");
    assert!(Message::decode(&message(65).encode().unwrap()).is_err());
}

/// Guards against unbounded memory use by frames that declare more entries or bytes than they
/// contain, or that contain a large number of tiny entries.
#[test]
fn invalid_lengths_are_rejected_with_bounded_memory() {
    let most = [255, 255, 255, 255, 255, 255, 255, 255, 255, 1];
    let state = {
        let (one, two) = (heartbeat(1, 0).encode().unwrap(), heartbeat(2, 0).encode().unwrap());
        let size = two.len() - one.len();
        one[one.len() - 1 - size..one.len() - 1].to_vec()
    };
    let empty = heartbeat(0, 0).encode().unwrap();
    let mut states = empty[..empty.len() - 2].to_vec();
    states.extend([255, 255, 3]);
    while states.len() + state.len() <= FRAME_LIMIT {
        states.extend(&state);
    }
    // One prefix without a name, whose batch declares a large number of empty changes.
    let start = [vec![17, 2, b'r', b'1', 4, 1, 1, 0, 0, 0, 1, 0, 9, 0], vec![255, 255, 15]];
    let changes = [start.concat(), vec![0; 1_000_000]].concat();
    let table: [(&str, Vec<u8>); 6] = [
        ("empty strings", [vec![2, 9, 255, 255, 63], vec![0; 1_000_000]].concat()),
        ("empty parts", [vec![3, 0, 255, 255, 31], vec![0; 1_000_000]].concat()),
        ("states", states),
        ("length of a root", [vec![3], most.to_vec()].concat()),
        ("length of a list", [vec![2, 9], most.to_vec()].concat()),
        ("changes", changes),
    ];
    for (name, frame) in table {
        let (result, memory) = decode_measured(&frame);
        assert!(result.is_err(), "{name}");
        assert!(memory <= MEMORY_LIMIT_BYTES, "{name}: {memory} bytes");
    }
    assert_eq!(Message::decode(&vec![1; FRAME_LIMIT + 1]), Err(DecodeError::TooLarge));
    let mut trailing = messages()[1].encode().unwrap();
    trailing.push(0);
    assert_eq!(Message::decode(&trailing), Err(DecodeError::Trailing(1)));
}

fn config() -> ProptestConfig {
    println!("seed {SEED}");
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against arbitrary frames that cause a panic or excessive memory use.
    #[test]
    fn random_frames_do_not_panic_or_exhaust_memory(
        variant in 0..18_u8,
        mut bytes in prop::collection::vec(any::<u8>(), 0..2_000),
    ) {
        bytes.insert(0, variant);
        let (result, memory) = decode_measured(&bytes);
        prop_assert!(memory <= MEMORY_LIMIT_BYTES, "{memory} bytes");
        if let Ok(message) = result {
            prop_assert!(message.encode().is_ok());
        }
    }

    /// Guards against corrupted or truncated frames that cause a panic or excessive memory use.
    #[test]
    fn corrupted_frames_do_not_panic_or_exhaust_memory(
        index in 0..18_usize,
        changes in prop::collection::vec((any::<usize>(), any::<u8>()), 1..6),
        cut in any::<usize>(),
    ) {
        let mut frame = messages()[index].encode().unwrap();
        for (place, byte) in changes {
            let place = place % frame.len();
            frame[place] = byte;
        }
        frame.truncate(1 + cut % frame.len());
        let (_, memory) = decode_measured(&frame);
        prop_assert!(memory <= MEMORY_LIMIT_BYTES, "{memory} bytes");
    }
}
