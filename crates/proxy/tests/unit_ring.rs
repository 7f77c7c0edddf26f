//! Unit tests of the ring buffer.

use violetwind_proxy::ring_buffer::*;

#[test]
fn lines_are_complete_and_in_order_across_the_wrap_around() {
    let mut ring = RingBuffer::new(16);
    for round in 0..40 {
        let text = format!("n{round:04}\r\n");
        assert!(ring.push(b"ab\r\n"));
        assert!(ring.push(text.as_bytes()));
        assert_eq!(ring.take_line().unwrap(), b"ab");
        assert!(ring.push(b"par"));
        assert_eq!(ring.take_line().unwrap(), &text.as_bytes()[..5]);
        assert_eq!(ring.take_line(), None);
        assert!(ring.push(b"t\r\n"));
        assert_eq!(ring.take_line().unwrap(), b"part");
    }
}

#[test]
fn a_full_ring_accepts_no_more_bytes() {
    let mut ring = RingBuffer::new(4);
    assert!(ring.push(b"abcd"));
    assert!(!ring.push(b"e"));
    ring.truncate(2);
    assert!(ring.push(b"\r\n"));
    assert_eq!(ring.take_line().unwrap(), b"ab");
}
