//! Tests of what is held for clients and of who gives way.

use client_memory::{
    ClientMemory, Eviction, Limits, Listener, RECEIVE_BUFFER_BYTES, Refusal, RefusalCause,
    SMALL_BYTES, Stage,
};
use ids::{ByteSize, ClientId, DescriptorCount, Megabytes, Millis, Timestamp};

const LARGEST_BODY: ByteSize = ByteSize(64 * 1024 * 1024);

/// Longer than a client may make no progress while others need the room.
const STALL: Millis = Millis(500);

fn smallest_host() -> ClientMemory {
    ClientMemory::new(Limits::of_host(Megabytes(160), DescriptorCount(4_100)))
}

fn start() -> Timestamp {
    Timestamp::default() + Millis(1_000)
}

/// Opens a connection on which a body begins.
fn begin(
    memory: &mut ClientMemory,
    now: Timestamp,
    announced: ByteSize,
    time_limit: Option<Millis>,
) -> Result<ClientId, Refusal> {
    let id = memory.open(now, Listener::Requests)?;
    memory.enter(now, id, Stage::ReadsBody);
    memory.begin_body(now, id, Some(announced), time_limit.map(|it| now + it))?;
    Ok(id)
}

#[test]
fn the_largest_body_fits_the_smallest_host_beside_other_clients() {
    let (mut memory, now) = (smallest_host(), start());
    for _ in 0..200 {
        memory.open(now, Listener::Requests).unwrap();
    }

    let id = begin(&mut memory, now, LARGEST_BODY, None).unwrap();
    memory.try_enter(now, id, Stage::InWork).unwrap();

    assert_eq!(memory.take_evicted(), []);
}

#[test]
fn a_second_large_body_is_refused_at_once_with_a_time_to_come_back() {
    let (mut memory, now) = (smallest_host(), start());
    begin(&mut memory, now, LARGEST_BODY, None).unwrap();

    let refusal = begin(&mut memory, now, LARGEST_BODY, None).unwrap_err();

    assert_eq!(refusal.cause, RefusalCause::Memory);
    assert_eq!(refusal.retry_after, STALL);
    assert_eq!(memory.take_evicted(), []);
}

#[test]
fn a_stalled_body_gives_way() {
    let (mut memory, now) = (smallest_host(), start());
    let stalled = begin(&mut memory, now, LARGEST_BODY, None).unwrap();
    memory.received(now, stalled, ByteSize(LARGEST_BODY.0 - 1)).unwrap();

    begin(&mut memory, now + STALL, LARGEST_BODY, None).unwrap();

    assert_eq!(memory.take_evicted(), [(stalled, Eviction::Stalled)]);
}

#[test]
fn single_bytes_are_no_progress() {
    let (mut memory, now) = (smallest_host(), start());
    let dripping = begin(&mut memory, now, LARGEST_BODY, None).unwrap();
    for millis in 0..STALL.0 {
        memory.received(now + Millis(millis), dripping, ByteSize(1)).unwrap();
    }

    begin(&mut memory, now + STALL, LARGEST_BODY, None).unwrap();

    assert_eq!(memory.take_evicted(), [(dripping, Eviction::Stalled)]);
}

#[test]
fn a_body_that_arrives_steadily_keeps_its_room() {
    let (mut memory, now) = (smallest_host(), start());
    let steady = begin(&mut memory, now, LARGEST_BODY, Some(Millis(20_000))).unwrap();
    let part = ByteSize(LARGEST_BODY.0 / 100);
    for i in 1..=50 {
        memory.received(now + Millis(i * 100), steady, part).unwrap();
    }

    assert!(begin(&mut memory, now + Millis(5_000), LARGEST_BODY, None).is_err());
    assert_eq!(memory.take_evicted(), []);
}

#[test]
fn a_body_that_will_be_late_gives_way() {
    let (mut memory, now) = (smallest_host(), start());
    let late = begin(&mut memory, now, LARGEST_BODY, Some(Millis(4_000))).unwrap();
    // 10 of 64 MiB in a quarter of the time.
    for i in 1..=10 {
        memory.received(now + Millis(i * 100), late, ByteSize(1024 * 1024)).unwrap();
    }

    begin(&mut memory, now + Millis(1_000), LARGEST_BODY, None).unwrap();

    assert_eq!(memory.take_evicted(), [(late, Eviction::Late)]);
}

#[test]
fn requests_in_work_do_not_give_way() {
    let (mut memory, now) = (smallest_host(), start());
    let working = begin(&mut memory, now, LARGEST_BODY, Some(Millis(1_000))).unwrap();
    memory.try_enter(now, working, Stage::InWork).unwrap();

    assert!(begin(&mut memory, now + Millis(60_000), LARGEST_BODY, None).is_err());
    assert_eq!(memory.take_evicted(), []);
}

#[test]
fn an_answer_that_is_not_read_gives_way_and_one_that_is_read_does_not() {
    let (mut memory, now) = (smallest_host(), start());
    let answer = ByteSize(30_000_000);
    let [unread, read] = [0, 1].map(|_| {
        let id = memory.open(now, Listener::Requests).unwrap();
        memory.try_enter(now, id, Stage::InWork).unwrap();
        memory.hold(now, id, answer).unwrap();
        memory.try_enter(now, id, Stage::WritesResponse).unwrap();
        id
    });
    memory.written(now + Millis(400), read, ByteSize(100_000));

    begin(&mut memory, now + STALL, ByteSize(40_000_000), None).unwrap();

    assert_eq!(memory.take_evicted(), [(unread, Eviction::Stalled)]);
}

#[test]
fn small_requests_are_served_beside_a_crowd_of_large_ones_that_has_just_stalled() {
    let (mut memory, now) = (smallest_host(), start());
    while begin(&mut memory, now, ByteSize(SMALL_BYTES + 1), None).is_ok() {}

    for _ in 0..50 {
        let id = begin(&mut memory, now, ByteSize(SMALL_BYTES), None).unwrap();
        memory.try_enter(now, id, Stage::InWork).unwrap();
    }

    assert_eq!(memory.take_evicted(), []);
}

#[test]
fn a_body_in_chunks_becomes_large_when_it_grows() {
    let (mut memory, now) = (smallest_host(), start());
    let id = memory.open(now, Listener::Requests).unwrap();
    memory.enter(now, id, Stage::ReadsBody);
    memory.begin_body(now, id, None, None).unwrap();

    memory.hold(now, id, ByteSize(SMALL_BYTES)).unwrap();
    assert_eq!(memory.large(), ByteSize(0));
    memory.hold(now, id, ByteSize(1)).unwrap();
    assert_eq!(memory.large(), memory.total());
}

#[test]
fn the_connection_that_is_idle_for_longest_gives_way_to_a_new_one() {
    let mut memory = ClientMemory::new(Limits::of_host(Megabytes(160), DescriptorCount(40)));
    let connections = memory.limits().connections as u64;
    let ports = [Listener::Requests, Listener::Directory];
    let ids: Vec<_> = (0..connections)
        .map(|i| memory.open(start() + Millis(i), ports[i as usize % 2]).unwrap())
        .collect();

    assert!(memory.open(start() + Millis(100), Listener::Requests).is_err());
    memory.open(start() + Millis(600), Listener::Requests).unwrap();

    assert_eq!(memory.take_evicted(), [(ids[0], Eviction::Idle)]);
}

#[test]
fn the_clients_of_one_listener_leave_connections_to_the_others() {
    let mut memory = ClientMemory::new(Limits::of_host(Megabytes(160), DescriptorCount(400)));
    while memory.open(start(), Listener::Requests).is_ok() {}

    for listener in [Listener::Readiness, Listener::Directory, Listener::Metrics] {
        memory.open(start(), listener).unwrap();
    }
}

#[test]
fn what_a_socket_may_hold_unread_counts_while_a_request_is_in_work() {
    let (mut memory, now) = (smallest_host(), start());
    let id = memory.open(now, Listener::Requests).unwrap();
    let before = memory.total().0;

    memory.try_enter(now, id, Stage::InWork).unwrap();
    assert_eq!(memory.total().0 - before, RECEIVE_BUFFER_BYTES);
    memory.enter(now, id, Stage::Idle);
    assert_eq!(memory.total().0, before);
}

#[test]
fn nothing_is_held_for_a_closed_connection() {
    let (mut memory, now) = (smallest_host(), start());
    let id = begin(&mut memory, now, LARGEST_BODY, None).unwrap();

    memory.close(id);
    memory.release(id, LARGEST_BODY);

    assert_eq!((memory.total(), memory.large()), (ByteSize(0), ByteSize(0)));
    assert!(memory.hold(now, id, ByteSize(1)).is_err());
}

/// Ten times the requests a second that the busiest sheet sends to a gateway of the smallest host, with
/// the largest bodies and answers of all sheets, beside more idle connections than a gateway has had.
#[test]
fn ten_times_the_load_of_the_busiest_sheet_meets_no_limit() {
    let mut memory = smallest_host();
    for _ in 0..400 {
        memory.open(start(), Listener::Requests).unwrap();
    }
    let mut working = std::collections::VecDeque::new();
    for i in 0..2_000 {
        let now = start() + Millis(i * 9);
        let id = begin(&mut memory, now, ByteSize(24_000), Some(Millis(5_000))).unwrap();
        memory.received(now, id, ByteSize(24_000)).unwrap();
        memory.try_enter(now, id, Stage::InWork).unwrap();
        working.push_back((now + Millis(4_000), id));
        while let Some((_, id)) = working.pop_front_if(|(end, _)| *end <= now) {
            // One of a hundred is a large download.
            let answer = if id.0 % 100 == 0 { 2 * 540_000 } else { 30_000 };
            memory.hold(now, id, ByteSize(answer)).unwrap();
            memory.try_enter(now, id, Stage::WritesResponse).unwrap();
            memory.close(id);
        }
    }

    assert_eq!(memory.take_evicted(), []);
}

#[test]
fn a_head_is_held_twice_until_its_response_is_on_its_way() {
    let (mut memory, now) = (smallest_host(), start());
    let id = memory.open(now, Listener::Requests).unwrap();
    let idle = memory.total().0;

    memory.received(now, id, ByteSize(1_000)).unwrap();
    memory.enter(now, id, Stage::ReadsBody);
    assert_eq!(memory.total().0 - idle, 2_000);

    memory.try_enter(now, id, Stage::InWork).unwrap();
    memory.try_enter(now, id, Stage::WritesResponse).unwrap();
    memory.enter(now, id, Stage::Idle);
    assert_eq!(memory.total().0, idle);
}

#[test]
fn stalled_clients_give_way_before_idle_ones() {
    let (mut memory, now) = (smallest_host(), start());
    let mut stalled = Vec::new();
    while let Ok(id) = memory.open(now, Listener::Requests) {
        if stalled.len() < 2 && memory.received(now + Millis(1), id, ByteSize(1_000)).is_ok() {
            stalled.push(id);
        }
    }

    memory.open(now + Millis(600), Listener::Requests).unwrap();

    assert_eq!(memory.take_evicted(), [(stalled[0], Eviction::Stalled)]);
}

#[test]
fn connections_that_give_way_count_until_they_are_closed() {
    let mut memory = ClientMemory::new(Limits::of_host(Megabytes(160), DescriptorCount(400)));
    let limit = memory.limits().connections;
    for i in 0..limit {
        let listener = if i % 2 == 0 { Listener::Requests } else { Listener::Directory };
        memory.open(start(), listener).unwrap();
    }

    let later = start() + Millis(600);
    while memory.open(later, Listener::Metrics).is_ok() {}
    assert!(memory.connections() + memory.leaving() <= limit + limit / 16);

    let (closed, _) = memory.take_evicted()[0];
    memory.close(closed);
    memory.open(later, Listener::Metrics).unwrap();
}
