//! Tests of the RESP decoder while buffers are scarce.

use hollymux_protocol::resp::{Decoder, Frame};
use hollymux_router::buffers::{BufferPool, BufferUse, BUFFER_BYTES};

/// A frame with a word and a body of this many bytes.
fn frame(word: &str, body: usize) -> Vec<u8> {
    let head = format!("*2\r\n${}\r\n{word}\r\n${body}\r\n", word.len());
    [head.as_bytes(), &vec![b'x'; body], b"\r\n"].concat()
}

fn feed_all(decoder: &mut Decoder, mut bytes: &[u8]) -> Vec<Frame> {
    std::iter::from_fn(|| decoder.feed(&mut bytes).expect("malformed frame")).collect()
}

/// Guards against a connection that ends, with all that is open on it, because no buffer is left for
/// one body: the frames before and behind it must be decoded, in whatever pieces they arrive.
#[test]
fn a_body_without_buffers_is_skipped_and_its_frame_says_so() {
    let bytes = [frame("first", 5), frame("too long", 2 * BUFFER_BYTES + 1), frame("last", 7)].concat();
    for piece in [1, 1_000, BUFFER_BYTES, bytes.len()] {
        let pool = BufferPool::new(2);
        let mut decoder = Decoder::new(&pool, BufferUse::Message, 1, 1 << 20);
        let frames = bytes.chunks(piece).flat_map(|piece| feed_all(&mut decoder, piece));
        let summaries = frames.map(|frame| {
            (String::from_utf8(frame.words[0].clone()).expect("word"), frame.body.len(), frame.body_dropped)
        });
        let expected = [
            ("first".to_string(), 5, false),
            ("too long".to_string(), 0, true),
            ("last".to_string(), 7, false),
        ];
        assert_eq!(summaries.collect::<Vec<_>>(), expected, "in pieces of {piece} bytes");
        assert!(pool.has_room(2, BufferUse::Message), "buffers are still in use");
    }
}

/// Guards against an incomplete body that keeps its buffers after it was dropped, or takes new ones.
#[test]
fn a_dropped_body_frees_its_buffers_and_takes_no_more() {
    let pool = BufferPool::new(8);
    let mut decoder = Decoder::new(&pool, BufferUse::IncompleteRequest, 1, 1 << 20);
    let bytes = frame("word", 2 * BUFFER_BYTES);
    let (first, rest) = bytes.split_at(BUFFER_BYTES);
    assert!(feed_all(&mut decoder, first).is_empty() && decoder.holds_body());
    assert!(!pool.has_room(8, BufferUse::Message));
    decoder.drop_body();
    assert!(!decoder.holds_body() && pool.has_room(8, BufferUse::Message));
    let frames = feed_all(&mut decoder, rest);
    assert!(frames[0].body_dropped && frames[0].body.is_empty());
    assert!(pool.has_room(8, BufferUse::Message));
}
